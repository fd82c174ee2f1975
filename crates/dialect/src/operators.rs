//! Requests of operators that publish and read routes.

use std::sync::Arc;

use bytes::Bytes;
use http::{Method, Response};
use pollendrift_coordination::base::FindingList;
use pollendrift_coordination::routes::{RouteDocument, SourceVersion};

/// Request of an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperatorCall {
    /// Publishes a route document.
    Publish,
    /// Reads the newest route document.
    Read,
}

/// Reply to an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorReply {
    /// The document or a newer one is in force.
    Published {
        /// Version in force.
        version: SourceVersion,
    },
    /// Source text of the newest document.
    Document(Arc<str>),
    /// No document has been published yet.
    NotPublished,
    /// The document is invalid; the routes are unchanged.
    Invalid(FindingList),
    /// This host can't process the request now; another host can, or this host later.
    Unavailable {
        /// Reason for the operator and the log.
        reason: String,
    },
}

/// Decodes requests of operators and encodes replies to them.
pub trait OperatorDialect: Send + Sync {
    /// Decodes the method and path of a request; returns `None` if it is not an operator request.
    fn call(&self, method: &Method, path: &str) -> Option<OperatorCall>;

    /// Decodes and validates a route document.
    ///
    /// # Errors
    /// Returns all findings about an invalid document.
    fn read_document(&self, text: &[u8]) -> Result<RouteDocument, FindingList>;

    /// Encodes a reply.
    fn reply(&self, reply: &OperatorReply) -> Response<Bytes>;
}
