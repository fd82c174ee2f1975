//! Label keys, values and sets.

use std::collections::BTreeMap;
use std::sync::Arc;

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Most bytes in a label key.
pub const MAX_KEY_BYTES: usize = 128;
/// Most bytes in a label value.
pub const MAX_VALUE_BYTES: usize = 256;
/// What a label key may be, in the words of an error.
pub(super) const KEY_RULE: &str =
    "letters, digits, '-', '_', '.' and '/' between parts, at most 128 bytes";
/// What a label value may be, in the words of an error.
pub(super) const VALUE_RULE: &str = "printable text of 1 to 256 bytes";

/// Key of a label; `/` separates a prefix from the name.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LabelKey(Arc<str>);

impl LabelKey {
    /// A key, or `None` if `text` is none.
    pub fn new(text: &str) -> Option<Self> {
        let whole_parts = text.split('/').all(is_key_part);
        (whole_parts && text.len() <= MAX_KEY_BYTES).then(|| Self(Arc::from(text)))
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
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    !part.is_empty() && part.bytes().all(plain)
}

/// Value of a label.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LabelValue(Arc<str>);

impl LabelValue {
    /// A value, or `None` if `text` is empty, too long or holds control characters.
    pub fn new(text: &str) -> Option<Self> {
        let bounded = !text.is_empty() && text.len() <= MAX_VALUE_BYTES;
        let printable = !text.chars().any(char::is_control);
        (bounded && printable).then(|| Self(Arc::from(text)))
    }

    /// The value as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// The value as a whole number, as the operators `Gt` and `Lt` compare it.
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
    /// Sets a label; an earlier value of the key is replaced.
    pub fn set(&mut self, key: LabelKey, value: LabelValue) {
        self.0.insert(key, value);
    }

    /// Sets a label from text that comes from outside; what is no label is left out and `false`
    /// returned, so a hostile attribute can never match a selector.
    pub fn set_text(&mut self, key: &str, value: &str) -> bool {
        match (LabelKey::new(key), LabelValue::new(value)) {
            (Some(key), Some(value)) => {
                self.set(key, value);
                true
            }
            _ => false,
        }
    }

    /// Value of `key`.
    pub fn get(&self, key: &str) -> Option<&LabelValue> {
        self.0.get(key)
    }

    /// Sets all labels of `other`, over those of this set.
    pub fn overlay(&mut self, other: &Self) {
        for (key, value) in &other.0 {
            self.0.insert(key.clone(), value.clone());
        }
    }

    /// Labels in the order of their keys.
    pub fn iter(&self) -> impl Iterator<Item = (&LabelKey, &LabelValue)> {
        self.0.iter()
    }

    /// Number of labels.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether there is no label.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// What a label is on.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum LabelSubject {
    /// A model engine or plain service instance.
    #[display("backend-server")]
    BackendServer,
    /// A customer.
    #[display("customer")]
    Customer,
    /// A host that runs a daemon.
    #[display("host")]
    Host,
    /// Requests, by their attributes.
    #[display("request")]
    Request,
}

impl LabelSubject {
    /// All subjects, in the words of an error.
    pub(super) const NAMES: &str = "backend-server, customer, host or request";

    /// The subject of that name.
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

/// Exact name, or pattern in which each `*` stands for any text.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct NamePattern(Arc<str>);

impl NamePattern {
    /// A pattern, or `None` if `text` is empty, too long or holds control characters.
    pub fn new(text: &str) -> Option<Self> {
        LabelValue::new(text).map(|value| Self(value.0))
    }

    /// The pattern as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Whether it stands for one name only.
    pub fn is_exact(&self) -> bool {
        !self.0.contains('*')
    }

    /// Number of bytes that a name must share with the pattern; more is more specific.
    pub fn literal_bytes(&self) -> usize {
        self.0.bytes().filter(|byte| *byte != b'*').count()
    }

    /// Whether `name` fits.
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

    #[test]
    fn keys_are_checked_by_part() {
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
