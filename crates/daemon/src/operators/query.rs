//! Query strings of operators' questions.

use std::borrow::Cow;
use std::str::FromStr;

use super::problem::OperatorProblem;

/// Decoded key-value pairs of a query string, in their order.
#[derive(Clone, Debug, Default)]
pub(super) struct QueryPairs {
    pairs: Vec<(String, String)>,
}

impl QueryPairs {
    /// Decodes a query string. Of a repeated key, look-ups return the last value.
    pub(super) fn of(text: &str) -> Self {
        let pairs = form_urlencoded::parse(text.as_bytes());
        let owned =
            |(key, value): (Cow<'_, str>, Cow<'_, str>)| (key.into_owned(), value.into_owned());
        Self {
            pairs: pairs.map(owned).collect(),
        }
    }

    /// Whether `key` has a value that is not empty.
    pub(super) fn has(&self, key: &str) -> bool {
        self.text(key).is_some()
    }

    /// Returns the value of `key`; `None` if it is absent or empty.
    pub(super) fn text(&self, key: &str) -> Option<&str> {
        let found = self.pairs.iter().rev().find(|(name, _)| name == key);
        found
            .map(|(_, value)| value.as_str())
            .filter(|value| !value.is_empty())
    }

    /// Parses the value of `key` as a number; `None` if it is absent or empty.
    ///
    /// # Errors
    ///
    /// A refusal if the value is not a number of the type `T`.
    pub(super) fn number<T>(&self, key: &str) -> Result<Option<T>, OperatorProblem>
    where
        T: FromStr,
    {
        let Some(text) = self.text(key) else {
            return Ok(None);
        };
        let parsed = text.parse().map(Some);
        parsed.map_err(|_| {
            OperatorProblem::bad_query(format!("`{key}`: `{text}` is no number that fits"))
        })
    }
}
