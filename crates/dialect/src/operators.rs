//! How operators change routes, and read them back.

use std::sync::Arc;

use bytes::Bytes;
use http::{Method, Response};
use pollendrift_coordination::base::FindingList;
use pollendrift_coordination::routes::{RouteDocument, SourceVersion};

/// What an operator asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperatorCall {
    /// Puts a document in force.
    Publish,
    /// Reads the newest document.
    Read,
}

/// What an operator is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorReply {
    /// The document, or a newer one, is in force.
    Published {
        /// Version in force.
        version: SourceVersion,
    },
    /// The newest document, as it was sent.
    Document(Arc<str>),
    /// No document was published yet.
    NotPublished,
    /// The document is refused; nothing was changed.
    Invalid(FindingList),
    /// This host can't tell; another may, or this one later.
    Unavailable {
        /// Why.
        reason: String,
    },
}

/// How operators speak.
pub trait OperatorDialect: Send + Sync {
    /// What a request asks; `None` if it is none of an operator's.
    fn call(&self, method: &Method, path: &str) -> Option<OperatorCall>;

    /// Reads and checks a document.
    ///
    /// # Errors
    /// All that is wrong with it.
    fn read_document(&self, text: &[u8]) -> Result<RouteDocument, FindingList>;

    /// Writes an answer.
    fn reply(&self, reply: &OperatorReply) -> Response<Bytes>;
}
