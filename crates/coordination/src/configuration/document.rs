//! Parses YAML documents into a tree that records the location of every node.
//!
//! A derived deserializer stops at its first error. Operators need all findings at once, so the
//! text is parsed into this tree first and then checked key by key.

use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::de::{MapAccess, SeqAccess, Visitor};
use serde_saphyr::{DuplicateKeyPolicy, Location, MergeKeyPolicy, Spanned};

use super::chunk::TextChunk;
use crate::base::{FindingList, Place};

/// Maximum size of a configuration text, in bytes.
pub const MAX_TEXT_BYTES: usize = 4 * 1024 * 1024;
/// Maximum number of documents in one text.
pub const MAX_DOCUMENTS: usize = 20_000;
/// Maximum nesting depth of maps and lists in a document.
pub const MAX_DEPTH: usize = 8;
const MAX_NODES: usize = 1_000_000;

/// A node and its location.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct LocatedNode {
    pub(super) place: Place,
    pub(super) value: NodeValue,
}

/// Value of a node. Scalars keep their spelling in the text, so `1.10` stays `1.10`.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum NodeValue {
    Empty,
    Text(String),
    List(Vec<LocatedNode>),
    Map(Vec<LocatedEntry>),
}

/// One key of a map and its value. A map keeps all entries of a repeated key.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct LocatedEntry {
    pub(super) key: String,
    pub(super) key_place: Place,
    pub(super) node: LocatedNode,
}

impl NodeValue {
    /// Kind of the node, as error messages name it.
    pub(super) fn kind(&self) -> &'static str {
        match self {
            Self::Empty => "nothing",
            Self::Text(_) => "a plain value",
            Self::List(_) => "a list",
            Self::Map(_) => "a map",
        }
    }
}

/// Parses the documents of a chunk; invalid YAML or an exceeded limit adds one finding.
pub(super) fn read_chunk(
    file: &Arc<str>,
    chunk: TextChunk<'_>,
    findings: &mut FindingList,
) -> Vec<LocatedNode> {
    let reader = NodeReader { file, chunk };
    let parsed: Result<Vec<Spanned<RawNode>>, _> =
        serde_saphyr::from_multiple_with_options(chunk.text, read_options());
    match parsed {
        Ok(nodes) => nodes.into_iter().map(|node| reader.node(node)).collect(),
        Err(error) => {
            let location = error.location();
            let place = location.map_or_else(|| whole_file(file), |at| reader.place(&at));
            let message = first_line(&error.without_snippet().to_string());
            findings.error(
                place,
                format!("not readable as YAML: {message}"),
                format!("YAML documents, nested at most {MAX_DEPTH} deep, without anchors"),
            );
            Vec::new()
        }
    }
}

fn read_options() -> serde_saphyr::Options {
    serde_saphyr::options! {
        budget: serde_saphyr::budget! {
            max_aliases: 0,
            max_anchors: 0,
            max_depth: MAX_DEPTH,
            max_nodes: MAX_NODES,
            max_events: 4 * MAX_NODES,
            max_total_scalar_bytes: MAX_TEXT_BYTES,
            max_total_comment_bytes: MAX_TEXT_BYTES,
        },
        duplicate_keys: DuplicateKeyPolicy::PassThrough,
        merge_keys: MergeKeyPolicy::AsOrdinary,
        null_as_string: true,
        strict_booleans: true,
        with_snippet: false,
    }
}

/// First line of the YAML library's message, without the position at its end, which is relative to
/// the chunk.
fn first_line(text: &str) -> String {
    let line = text.lines().next().unwrap_or_default();
    line.rsplit_once(" at line ")
        .map_or(line, |(message, _)| message)
        .to_owned()
}

/// Location of findings that apply to the complete file: line and column 0.
pub(super) fn whole_file(file: &Arc<str>) -> Place {
    Place {
        file: file.clone(),
        line: 0,
        column: 0,
    }
}

struct NodeReader<'a> {
    file: &'a Arc<str>,
    chunk: TextChunk<'a>,
}

impl NodeReader<'_> {
    fn place(&self, location: &Location) -> Place {
        let line = u32::try_from(location.line()).unwrap_or(u32::MAX);
        Place {
            file: self.file.clone(),
            line: line.saturating_add(self.chunk.first_line - 1),
            column: u32::try_from(location.column()).unwrap_or(u32::MAX),
        }
    }

    fn node(&self, node: Spanned<RawNode>) -> LocatedNode {
        let value = match node.value {
            RawNode::Empty => NodeValue::Empty,
            RawNode::Text(text) => NodeValue::Text(text),
            RawNode::Typed(text) => NodeValue::Text(self.spelling(&node.referenced, text)),
            RawNode::List(nodes) => {
                NodeValue::List(nodes.into_iter().map(|node| self.node(node)).collect())
            }
            RawNode::Map(entries) => {
                NodeValue::Map(entries.into_iter().map(|entry| self.entry(entry)).collect())
            }
        };
        LocatedNode {
            place: self.place(&node.referenced),
            value,
        }
    }

    fn entry(&self, entry: RawEntry) -> LocatedEntry {
        LocatedEntry {
            key_place: self.place(&entry.key.referenced),
            key: entry.key.value,
            node: self.node(entry.node),
        }
    }

    fn spelling(&self, location: &Location, parsed: String) -> String {
        let span = location.span();
        let (Some(offset), Some(length)) = (span.byte_offset(), span.byte_len()) else {
            return parsed;
        };
        let Ok(start) = usize::try_from(offset) else {
            return parsed;
        };
        let end = start.saturating_add(usize::try_from(length).unwrap_or(0));
        match self.chunk.text.get(start..end).map(str::trim) {
            Some(spelling) if !spelling.is_empty() => spelling.to_owned(),
            _ => parsed,
        }
    }
}

struct RawEntry {
    key: Spanned<String>,
    node: Spanned<RawNode>,
}

enum RawNode {
    Empty,
    Text(String),
    /// A plain scalar that YAML types as a number or boolean, in the spelling of the parser.
    Typed(String),
    List(Vec<Spanned<RawNode>>),
    Map(Vec<RawEntry>),
}

impl<'de> Deserialize<'de> for RawNode {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        deserializer.deserialize_any(RawVisitor)
    }
}

struct RawVisitor;

impl<'de> Visitor<'de> for RawVisitor {
    type Value = RawNode;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a YAML node")
    }

    fn visit_unit<E>(self) -> Result<RawNode, E> {
        Ok(RawNode::Empty)
    }

    fn visit_none<E>(self) -> Result<RawNode, E> {
        Ok(RawNode::Empty)
    }

    fn visit_bool<E>(self, value: bool) -> Result<RawNode, E> {
        Ok(RawNode::Typed(value.to_string()))
    }

    fn visit_i64<E>(self, value: i64) -> Result<RawNode, E> {
        Ok(RawNode::Typed(value.to_string()))
    }

    fn visit_u64<E>(self, value: u64) -> Result<RawNode, E> {
        Ok(RawNode::Typed(value.to_string()))
    }

    fn visit_f64<E>(self, value: f64) -> Result<RawNode, E> {
        Ok(RawNode::Typed(value.to_string()))
    }

    fn visit_str<E>(self, value: &str) -> Result<RawNode, E> {
        Ok(RawNode::Text(value.to_owned()))
    }

    fn visit_seq<A>(self, mut access: A) -> Result<RawNode, A::Error>
    where
        A: SeqAccess<'de>,
    {
        let mut nodes = Vec::new();
        while let Some(node) = access.next_element()? {
            nodes.push(node);
        }
        Ok(RawNode::List(nodes))
    }

    fn visit_map<A>(self, mut access: A) -> Result<RawNode, A::Error>
    where
        A: MapAccess<'de>,
    {
        let mut entries = Vec::new();
        while let Some((key, node)) = access.next_entry()? {
            entries.push(RawEntry { key, node });
        }
        Ok(RawNode::Map(entries))
    }
}
