//! Parses YAML into a tree in which every key and value has its location.
//!
//! The tree accepts any well-formed document, so that the sections can report all findings of a
//! file together instead of stopping at the first invalid value.

use std::fmt;
use std::sync::Arc;

use pollendrift_coordination::base::{FindingList, Place};
use serde::de::{Deserialize, Deserializer, MapAccess, SeqAccess, Visitor};
use serde_saphyr::{DuplicateKeyPolicy, Location, Spanned};

/// Maximum nesting depth of a settings file; valid settings need four levels.
const MAX_DEPTH: usize = 16;
/// Maximum number of parser events of a settings file: about 20,000 lines.
const MAX_EVENTS: usize = 100_000;

/// A value of the document, without its location.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum NodeValue {
    /// An explicit null or an empty value.
    Null,
    /// A scalar of any type, as text.
    Scalar(Arc<str>),
    /// A YAML sequence.
    List(Vec<Node>),
    /// A YAML mapping in the order of the file, with duplicate keys, so that they can be reported.
    Mapping(Vec<MappingPair>),
}

/// One key of a mapping and its value.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct MappingPair {
    /// The key and its location.
    pub(super) key: Spanned<String>,
    /// The value and its location.
    pub(super) node: Node,
}

/// A [`NodeValue`] with its location.
pub(super) type Node = Spanned<NodeValue>;

impl<'de> Deserialize<'de> for NodeValue {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        deserializer.deserialize_any(NodeVisitor)
    }
}

struct NodeVisitor;

impl NodeVisitor {
    fn scalar<T, E>(value: T) -> Result<NodeValue, E>
    where
        T: fmt::Display,
    {
        Ok(NodeValue::Scalar(value.to_string().into()))
    }
}

impl<'de> Visitor<'de> for NodeVisitor {
    type Value = NodeValue;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a YAML value")
    }

    fn visit_bool<E>(self, value: bool) -> Result<NodeValue, E> {
        Self::scalar(value)
    }

    fn visit_i64<E>(self, value: i64) -> Result<NodeValue, E> {
        Self::scalar(value)
    }

    fn visit_u64<E>(self, value: u64) -> Result<NodeValue, E> {
        Self::scalar(value)
    }

    fn visit_i128<E>(self, value: i128) -> Result<NodeValue, E> {
        Self::scalar(value)
    }

    fn visit_u128<E>(self, value: u128) -> Result<NodeValue, E> {
        Self::scalar(value)
    }

    fn visit_f64<E>(self, value: f64) -> Result<NodeValue, E> {
        Self::scalar(value)
    }

    fn visit_str<E>(self, value: &str) -> Result<NodeValue, E> {
        Ok(NodeValue::Scalar(value.into()))
    }

    fn visit_unit<E>(self) -> Result<NodeValue, E> {
        Ok(NodeValue::Null)
    }

    fn visit_none<E>(self) -> Result<NodeValue, E> {
        Ok(NodeValue::Null)
    }

    fn visit_seq<A>(self, mut access: A) -> Result<NodeValue, A::Error>
    where
        A: SeqAccess<'de>,
    {
        let mut items = Vec::new();
        while let Some(item) = access.next_element()? {
            items.push(item);
        }
        Ok(NodeValue::List(items))
    }

    fn visit_map<A>(self, mut access: A) -> Result<NodeValue, A::Error>
    where
        A: MapAccess<'de>,
    {
        let mut pairs = Vec::new();
        while let Some(key) = access.next_key()? {
            let node = access.next_value()?;
            pairs.push(MappingPair { key, node });
        }
        Ok(NodeValue::Mapping(pairs))
    }
}

/// Parses `text`.
///
/// # Errors
///
/// One finding at the place of the error if `text` is not a single well-formed YAML document.
pub(super) fn parse(file: &Arc<str>, text: &str) -> Result<Node, FindingList> {
    let options = serde_saphyr::options! {
        duplicate_keys: DuplicateKeyPolicy::PassThrough,
        strict_booleans: true,
        with_snippet: false,
        budget: serde_saphyr::budget! { max_depth: MAX_DEPTH, max_events: MAX_EVENTS },
    };
    serde_saphyr::from_str_with_options(text, options).map_err(|error| {
        let location = error.location().unwrap_or(Location::UNKNOWN);
        let text = error.render();
        // The library appends the location to its message; the finding already contains it.
        let cause = text.split(" at line ").next().unwrap_or(&text);
        let mut findings = FindingList::default();
        findings.error(
            place(file, location),
            format!("not readable as YAML: {cause}"),
            "one YAML document with a mapping at its top",
        );
        findings
    })
}

/// Converts `location` to a place in `file`.
pub(super) fn place(file: &Arc<str>, location: Location) -> Place {
    Place {
        file: Arc::clone(file),
        line: u32::try_from(location.line()).unwrap_or(u32::MAX),
        column: u32::try_from(location.column()).unwrap_or(u32::MAX),
    }
}
