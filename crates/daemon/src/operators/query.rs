//! Query strings of questions.

use std::borrow::Cow;
use std::str::FromStr;

use super::problem::OperatorProblem;

/// Pairs of a query string, decoded.
#[derive(Clone, Debug, Default)]
pub(super) struct QueryPairs {
    pairs: Vec<(String, String)>,
}

impl QueryPairs {
    /// Reads a query string; a repeated key counts once, the last one.
    pub(super) fn of(text: &str) -> Self {
        let pairs = form_urlencoded::parse(text.as_bytes());
        let owned =
            |(key, value): (Cow<'_, str>, Cow<'_, str>)| (key.into_owned(), value.into_owned());
        Self {
            pairs: pairs.map(owned).collect(),
        }
    }

    pub(super) fn has(&self, key: &str) -> bool {
        self.text(key).is_some()
    }

    /// The value of `key`, if it is not empty.
    pub(super) fn text(&self, key: &str) -> Option<&str> {
        let found = self.pairs.iter().rev().find(|(name, _)| name == key);
        found
            .map(|(_, value)| value.as_str())
            .filter(|value| !value.is_empty())
    }

    /// The value of `key` as a number.
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
