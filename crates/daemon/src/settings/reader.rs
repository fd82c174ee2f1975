//! Reads typed values from one mapping and collects findings with their places.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use pollendrift_coordination::base::{FindingList, Place};

use super::digest::TokenDigest;
use super::node::{self, MappingPair, Node, NodeValue};
use super::quantity;

/// State of reading one file: its name, its folder and the findings.
#[derive(Debug)]
pub(super) struct ReadContext {
    /// Name of the file in findings.
    pub(super) file: Arc<str>,
    /// Folder of the file; relative paths in the file are resolved against it.
    pub(super) folder: PathBuf,
    /// Errors and warnings found so far.
    pub(super) findings: FindingList,
}

impl ReadContext {
    /// Returns the place of `node` in the file.
    pub(super) fn place(&self, node: &Node) -> Place {
        node::place(&self.file, node.referenced)
    }

    /// Adds an error at `node`; `expected` says which values are accepted.
    pub(super) fn error(&mut self, node: &Node, message: impl Into<String>, expected: &str) {
        let place = self.place(node);
        self.findings.error(place, message, expected);
    }
}

/// A value and the place in the file that it was read from.
#[derive(Clone, Debug)]
pub(super) struct LocatedValue<T> {
    /// The parsed value.
    pub(super) value: T,
    /// Place of the value in the file.
    pub(super) place: Place,
}

/// Reader of one mapping. [`SectionReader::finish`] reports the keys that were never read.
#[derive(Debug)]
pub(super) struct SectionReader<'a> {
    context: &'a mut ReadContext,
    name: String,
    place: Place,
    /// Pairs that were not read yet, by key.
    unread: BTreeMap<String, MappingPair>,
    /// Keys that were read or looked up so far; listed in findings about unknown keys.
    accepted_keys: Vec<&'static str>,
}

impl<'a> SectionReader<'a> {
    /// Creates a reader of `node`, called `name` in findings. A node that is not a mapping counts
    /// as an empty one; unless it is null, that is an error.
    pub(super) fn new(context: &'a mut ReadContext, name: &str, node: &Node) -> Self {
        let place = context.place(node);
        let unread = match &node.value {
            NodeValue::Mapping(pairs) => unique_pairs(context, pairs),
            NodeValue::Null => BTreeMap::new(),
            NodeValue::Scalar(_) | NodeValue::List(_) => {
                context.error(
                    node,
                    format!("{name} is not a mapping"),
                    "`key: value` lines",
                );
                BTreeMap::new()
            }
        };
        Self {
            context,
            name: name.to_owned(),
            place,
            unread,
            accepted_keys: Vec::new(),
        }
    }

    /// Place in the file where the section starts.
    pub(super) fn place(&self) -> Place {
        self.place.clone()
    }

    /// Adds an error at `place`; `expected` says which values are accepted.
    pub(super) fn error(&mut self, place: Place, message: impl Into<String>, expected: &str) {
        self.context.findings.error(place, message, expected);
    }

    /// Adds a warning at `place`; `expected` says which values are accepted.
    pub(super) fn warning(&mut self, place: Place, message: impl Into<String>, expected: &str) {
        self.context.findings.warning(place, message, expected);
    }

    /// Reads a required value with `FromStr`; an absent key or a value that does not parse is an
    /// error.
    pub(super) fn required<T>(
        &mut self,
        key: &'static str,
        expected: &str,
    ) -> Option<LocatedValue<T>>
    where
        T: FromStr,
        T::Err: Display,
    {
        if !self.has(key) {
            self.accepted_keys.push(key);
            self.report_absent(key, expected);
            return None;
        }
        self.optional(key, expected)
    }

    /// Reads an optional value with `FromStr`; a value that does not parse is an error.
    pub(super) fn optional<T>(
        &mut self,
        key: &'static str,
        expected: &str,
    ) -> Option<LocatedValue<T>>
    where
        T: FromStr,
        T::Err: Display,
    {
        let node = self.take_node(key)?;
        let text = self.scalar(key, &node, expected)?;
        match text.parse() {
            Ok(value) => Some(self.located(&node, value)),
            Err(error) => {
                self.context
                    .error(&node, format!("`{key}: {text}`: {error}"), expected);
                None
            }
        }
    }

    /// Reads a required name and checks it against [`is_name`].
    pub(super) fn name<T>(&mut self, key: &'static str) -> Option<LocatedValue<T>>
    where
        T: From<String>,
    {
        let expected = "a name of 1 to 63 letters a to z, digits and, within it, `-` or `_`";
        let text = self.required::<String>(key, expected)?;
        if !is_name(&text.value) {
            let message = format!("`{key}: {}` is not a name", text.value);
            self.error(text.place, message, expected);
            return None;
        }
        Some(LocatedValue {
            value: T::from(text.value),
            place: text.place,
        })
    }

    /// Reads one of the words of `choices`; `default` if the key is absent or the word unknown.
    pub(super) fn choice<T>(&mut self, key: &'static str, default: T, choices: &[(&str, T)]) -> T
    where
        T: Copy,
    {
        let words: Vec<_> = choices.iter().map(|(word, _)| *word).collect();
        let expected = words.join(", ");
        let Some(text) = self.optional::<String>(key, &expected) else {
            return default;
        };
        match choices.iter().find(|(word, _)| *word == text.value) {
            Some((_, value)) => *value,
            None => {
                let message = format!("`{key}: {}` is not one of the choices", text.value);
                self.error(text.place, message, &expected);
                default
            }
        }
    }

    /// Reads a whole number within `range`; `default` if it is absent or invalid.
    pub(super) fn count(
        &mut self,
        key: &'static str,
        default: u64,
        range: RangeInclusive<u64>,
    ) -> u64 {
        let expected = format!("a whole number from {} to {}", range.start(), range.end());
        self.within_range(key, default, &range, &expected, quantity::parse_whole)
    }

    /// Reads an upper limit within `range`; `default` if it is absent or invalid. Fractions are
    /// rounded down, so that the effective limit never exceeds the written one.
    pub(super) fn upper_bound(
        &mut self,
        key: &'static str,
        default: u64,
        range: RangeInclusive<u64>,
    ) -> u64 {
        let expected = format!("a number from {} to {}", range.start(), range.end());
        self.within_range(
            key,
            default,
            &range,
            &expected,
            quantity::parse_rounded_down,
        )
    }

    /// Reads a size in bytes within `range`; `default` if it is absent or invalid.
    pub(super) fn size(
        &mut self,
        key: &'static str,
        default: u64,
        range: RangeInclusive<u64>,
    ) -> u64 {
        let expected = format!(
            "bytes such as 512, 64KiB or 8MiB, from {} to {} bytes",
            range.start(),
            range.end()
        );
        self.within_range(key, default, &range, &expected, quantity::parse_size)
    }

    /// Reads a duration within `range`; `default` if it is absent or invalid.
    pub(super) fn duration(
        &mut self,
        key: &'static str,
        default: Duration,
        range: RangeInclusive<Duration>,
    ) -> Duration {
        let expected = format!(
            "a duration such as 250ms, 2s, 5m, 12h or 30d, from {:?} to {:?}",
            range.start(),
            range.end()
        );
        self.within_range(key, default, &range, &expected, quantity::parse_duration)
    }

    /// Reads a fraction from 0 to 1; `default` if it is absent or invalid.
    pub(super) fn fraction(&mut self, key: &'static str, default: f64) -> f64 {
        let expected = "a number from 0 to 1";
        self.within_range(key, default, &(0.0..=1.0), expected, |text| {
            text.parse().ok()
        })
    }

    /// Reads a path; a relative one is resolved against the folder of the file.
    pub(super) fn path(&mut self, key: &'static str) -> Option<LocatedValue<PathBuf>> {
        let text = self.optional::<String>(key, "a path")?;
        Some(LocatedValue {
            value: self.context.folder.join(text.value),
            place: text.place,
        })
    }

    /// Reads one token digest or a list of them.
    pub(super) fn digests(&mut self, key: &'static str) -> Vec<LocatedValue<TokenDigest>> {
        let Some(node) = self.take_node(key) else {
            return Vec::new();
        };
        let nodes = match node.value {
            NodeValue::List(nodes) => nodes,
            _ => vec![node],
        };
        let mut digests = Vec::new();
        for node in nodes {
            let Some(text) = self.scalar(key, &node, TokenDigest::EXPECTED) else {
                continue;
            };
            match text.parse() {
                Ok(digest) => digests.push(self.located(&node, digest)),
                // The message omits the text: it may be a token pasted by mistake.
                Err(_) => self.context.error(
                    &node,
                    format!("`{key}` contains a value that is not a SHA-256 digest"),
                    TokenDigest::EXPECTED,
                ),
            }
        }
        digests
    }

    /// Reads a list of socket addresses; an absent key gives an empty list.
    pub(super) fn addresses(&mut self, key: &'static str) -> Vec<SocketAddr> {
        let expected = "a list of IP addresses with ports";
        let Some(node) = self.take_node(key) else {
            return Vec::new();
        };
        let NodeValue::List(nodes) = &node.value else {
            self.context
                .error(&node, format!("`{key}` is no list"), expected);
            return Vec::new();
        };
        let mut addresses = Vec::new();
        for node in nodes {
            let Some(text) = self.scalar(key, node, expected) else {
                continue;
            };
            match text.parse() {
                Ok(address) => addresses.push(address),
                Err(error) => {
                    let message = format!("`{key}: {text}`: {error}");
                    self.context.error(node, message, expected);
                }
            }
        }
        addresses
    }

    /// Reads a mapping with arbitrary keys, such as log levels by package, sorted by key.
    pub(super) fn pairs(
        &mut self,
        key: &'static str,
    ) -> Vec<(LocatedValue<String>, LocatedValue<String>)> {
        let Some(node) = self.take_node(key) else {
            return Vec::new();
        };
        let NodeValue::Mapping(pairs) = &node.value else {
            self.context.error(
                &node,
                format!("`{key}` is no mapping"),
                "`key: value` lines",
            );
            return Vec::new();
        };
        let unique = unique_pairs(self.context, pairs);
        let mut pairs = Vec::new();
        for pair in unique.into_values() {
            let Some(text) = self.scalar(key, &pair.node, "one word") else {
                continue;
            };
            let value = self.located(&pair.node, text.to_string());
            let place = node::place(&self.context.file, pair.key.referenced);
            let key = LocatedValue {
                value: pair.key.value,
                place,
            };
            pairs.push((key, value));
        }
        pairs
    }

    /// Reads the mapping under `key` with `read`; an absent key counts as an empty mapping.
    pub(super) fn section<T, F>(&mut self, key: &'static str, read: F) -> T
    where
        F: FnOnce(&mut SectionReader<'_>) -> T,
    {
        let node = self.take_node(key).unwrap_or_else(empty_node);
        let mut section = SectionReader::new(self.context, key, &node);
        if node.referenced.line() == 0 {
            section.place = self.place.clone();
        }
        let value = read(&mut section);
        section.finish();
        value
    }

    /// Reads every mapping of the list under `key` with `read`; an absent key gives an empty list.
    pub(super) fn list<T, F>(&mut self, key: &'static str, mut read: F) -> Vec<T>
    where
        F: FnMut(&mut SectionReader<'_>) -> Option<T>,
    {
        let Some(node) = self.take_node(key) else {
            return Vec::new();
        };
        let NodeValue::List(nodes) = &node.value else {
            if node.value != NodeValue::Null {
                self.context
                    .error(&node, format!("`{key}` is not a list"), "`- ` lines");
            }
            return Vec::new();
        };
        let mut items = Vec::new();
        for node in nodes {
            let mut section = SectionReader::new(self.context, key, node);
            items.extend(read(&mut section));
            section.finish();
        }
        items
    }

    /// Whether the section contains `key` and it was not read yet.
    pub(super) fn has(&self, key: &str) -> bool {
        self.unread.contains_key(key)
    }

    /// Adds an error at the start of the section: `key` is absent.
    pub(super) fn report_absent(&mut self, key: &str, expected: &str) {
        let message = format!("`{key}` is absent from {}", self.name);
        self.error(self.place.clone(), message, expected);
    }

    /// Reports every key that was never read, with the keys that are accepted.
    pub(super) fn finish(mut self) {
        self.accepted_keys.sort_unstable();
        self.accepted_keys.dedup();
        let expected = self.accepted_keys.join(", ");
        for (key, pair) in std::mem::take(&mut self.unread) {
            let place = node::place(&self.context.file, pair.key.referenced);
            let message = format!("unknown key `{key}` in {}", self.name);
            self.context
                .findings
                .error(place, message, expected.clone());
        }
    }

    fn within_range<T, F>(
        &mut self,
        key: &'static str,
        default: T,
        range: &RangeInclusive<T>,
        expected: &str,
        parse: F,
    ) -> T
    where
        T: PartialOrd,
        F: FnOnce(&str) -> Option<T>,
    {
        let Some(text) = self.optional::<String>(key, expected) else {
            return default;
        };
        match parse(&text.value).filter(|value| range.contains(value)) {
            Some(value) => value,
            None => {
                let message = format!("`{key}: {}` is out of range or unreadable", text.value);
                self.error(text.place, message, expected);
                default
            }
        }
    }

    fn take_node(&mut self, key: &'static str) -> Option<Node> {
        self.accepted_keys.push(key);
        self.unread.remove(key).map(|pair| pair.node)
    }

    fn scalar(&mut self, key: &str, node: &Node, expected: &str) -> Option<Arc<str>> {
        if let NodeValue::Scalar(text) = &node.value {
            return Some(Arc::clone(text));
        }
        self.context
            .error(node, format!("`{key}` is not a single value"), expected);
        None
    }

    fn located<T>(&self, node: &Node, value: T) -> LocatedValue<T> {
        LocatedValue {
            value,
            place: self.context.place(node),
        }
    }
}

fn empty_node() -> Node {
    Node::new(
        NodeValue::Null,
        serde_saphyr::Location::UNKNOWN,
        serde_saphyr::Location::UNKNOWN,
    )
}

/// Whether `text` is a DNS label of lower-case letters, digits, `-` and `_`: names appear in
/// certificates and evidence. DNS ignores case, so names that differ only in case would be one
/// host.
fn is_name(text: &str) -> bool {
    let plain = |letter: char| letter.is_ascii_lowercase() || letter.is_ascii_digit();
    let inner = |letter: char| plain(letter) || "-_".contains(letter);
    text.len() <= 63 && text.starts_with(plain) && text.ends_with(plain) && text.chars().all(inner)
}

/// Returns the pairs by key. A key that is written twice is an error, and its first value counts.
fn unique_pairs(context: &mut ReadContext, pairs: &[MappingPair]) -> BTreeMap<String, MappingPair> {
    let mut unique = BTreeMap::new();
    for pair in pairs {
        if unique.contains_key(&pair.key.value) {
            let place = node::place(&context.file, pair.key.referenced);
            let message = format!("key `{}` is written twice", pair.key.value);
            context.findings.error(place, message, "each key once");
            continue;
        }
        unique.insert(pair.key.value.clone(), pair.clone());
    }
    unique
}
