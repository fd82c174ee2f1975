//! Label keys, values and sets.

use std::collections::BTreeMap;
use std::sync::Arc;

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Maximum size of a label key, in bytes.
pub const MAX_KEY_BYTES: usize = 128;
/// Maximum size of a label value, in bytes.
pub const MAX_VALUE_BYTES: usize = 256;
/// Valid label keys, as error messages describe them.
pub(super) const KEY_RULE: &str =
    "letters, digits, '-', '_', '.' and '/' between parts, at most 128 bytes";
/// Valid label values, as error messages describe them.
pub(super) const VALUE_RULE: &str = "printable text of 1 to 256 bytes";

/// Key of a label; `/` separates a prefix from the name.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LabelKey(Arc<str>);

impl LabelKey {
    /// Checks `text`; `None` if it is too long, or a part is empty or has an invalid character.
    pub fn new(text: &str) -> Option<Self> {
        let parts_are_valid = text.split('/').all(is_key_part);
        (parts_are_valid && text.len() <= MAX_KEY_BYTES).then(|| Self(Arc::from(text)))
    }

    /// The key as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl std::borrow::Borrow<str> for LabelKey {
    fn borrow(&self) -> &str {
        &self.0
    }
}

fn is_key_part(part: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    !part.is_empty() && part.bytes().all(is_allowed)
}

/// Value of a label.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LabelValue(Arc<str>);

impl LabelValue {
    /// Checks `text`; `None` if it is empty, too long or contains control characters.
    pub fn new(text: &str) -> Option<Self> {
        let has_valid_length = !text.is_empty() && text.len() <= MAX_VALUE_BYTES;
        let printable = !text.chars().any(char::is_control);
        (has_valid_length && printable).then(|| Self(Arc::from(text)))
    }

    /// The value as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// The value as an integer, for the operators `Gt` and `Lt`; `None` if it is not an integer.
    pub fn as_number(&self) -> Option<i64> {
        self.0.parse().ok()
    }
}

impl std::borrow::Borrow<str> for LabelValue {
    fn borrow(&self) -> &str {
        &self.0
    }
}

/// Labels by key.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LabelSet(BTreeMap<LabelKey, LabelValue>);

impl LabelSet {
    /// Sets a label and replaces any previous value of the key.
    pub fn set(&mut self, key: LabelKey, value: LabelValue) {
        self.0.insert(key, value);
    }

    /// Sets a label from untrusted text. An invalid label is skipped and `false` returned, so that
    /// a malicious attribute never matches a selector.
    pub fn set_text(&mut self, key: &str, value: &str) -> bool {
        match (LabelKey::new(key), LabelValue::new(value)) {
            (Some(key), Some(value)) => {
                self.set(key, value);
                true
            }
            _ => false,
        }
    }

    /// Value of the label `key`.
    pub fn get(&self, key: &str) -> Option<&LabelValue> {
        self.0.get(key)
    }

    /// Sets all labels of `other`; they replace labels of this set with the same key.
    pub fn overlay(&mut self, other: &Self) {
        for (key, value) in &other.0 {
            self.0.insert(key.clone(), value.clone());
        }
    }

    /// Labels in key order.
    pub fn iter(&self) -> impl Iterator<Item = (&LabelKey, &LabelValue)> {
        self.0.iter()
    }

    /// Number of labels.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether the set contains no label.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// Kind of object that carries a label.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum LabelSubject {
    /// A model engine or an instance of a plain service.
    #[display("backend-server")]
    BackendServer,
    /// A customer.
    #[display("customer")]
    Customer,
    /// A host that runs a daemon.
    #[display("host")]
    Host,
    /// A request, matched by its attributes.
    #[display("request")]
    Request,
}

impl LabelSubject {
    /// All subjects, as error messages list them.
    pub(super) const NAMES: &str = "backend-server, customer, host or request";

    /// Parses the name of a subject.
    pub fn from_name(name: &str) -> Option<Self> {
        match name {
            "backend-server" => Some(Self::BackendServer),
            "customer" => Some(Self::Customer),
            "host" => Some(Self::Host),
            "request" => Some(Self::Request),
            _ => None,
        }
    }
}

/// Exact name, or pattern in which each `*` matches any text, including none.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct NamePattern(Arc<str>);

impl NamePattern {
    /// Checks `text`; `None` if it is empty, too long or contains control characters.
    pub fn new(text: &str) -> Option<Self> {
        LabelValue::new(text).map(|value| Self(value.0))
    }

    /// The pattern as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Whether the pattern contains no `*`.
    pub fn is_exact(&self) -> bool {
        !self.0.contains('*')
    }

    /// Number of bytes other than `*`; a pattern with more of them is more specific.
    pub fn literal_bytes(&self) -> usize {
        self.0.bytes().filter(|byte| *byte != b'*').count()
    }

    /// Whether the pattern matches the complete `name`.
    pub fn matches(&self, name: &str) -> bool {
        let mut parts = self.0.split('*');
        let first = parts.next().unwrap_or_default();
        let Some(mut rest) = name.strip_prefix(first) else {
            return false;
        };
        let mut parts: Vec<&str> = parts.collect();
        let Some(last) = parts.pop() else {
            return rest.is_empty();
        };
        for part in parts {
            match rest.find(part) {
                Some(found) => rest = &rest[found + part.len()..],
                None => return false,
            }
        }
        rest.ends_with(last)
    }
}

#[cfg(test)]
mod tests {
    use super::{LabelKey, NamePattern};

    // Guards against patterns that match only a part of a name or let two parts overlap.
    #[test]
    fn patterns_match_whole_names() {
        let cases = [
            ("draft-1", "draft-1", true),
            ("draft-1", "draft-12", false),
            ("draft-*", "draft-", true),
            ("*-a*-z", "x-ab-z", true),
            ("a*a", "a", false),
            ("*", "anything", true),
            ("a*b*c", "abcb", false),
        ];
        for (pattern, name, expected) in cases {
            let matched = NamePattern::new(pattern).unwrap().matches(name);
            assert_eq!(matched, expected, "{pattern} against {name}");
        }
    }

    // Guards against keys with an empty part or an invalid character in any part.
    #[test]
    fn keys_are_valid_only_if_each_part_is() {
        let cases = [
            ("limit/in-flight", true),
            ("a//b", false),
            ("/a", false),
            ("a b", false),
        ];
        for (key, expected) in cases {
            assert_eq!(LabelKey::new(key).is_some(), expected, "{key}");
        }
    }
}
