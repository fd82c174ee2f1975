//! Routing of requests on a listening address to the handlers of its faces.
//!
//! A face is an interface of the daemon for one kind of client, see [`crate::access`].

use std::net::SocketAddr;
use std::sync::Arc;

use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use pollendrift_http::{HandlerFuture, HttpHandler, text_response};

use crate::announcements::AnnouncementHandler;
use crate::daemon::FaceSet;
use crate::entry::EntryHandler;
use crate::operators::OperatorHandler;
use crate::relay::RelayFaces;

const BACKEND_PREFIX: &str = "/backend/";
const OPERATOR_PREFIX: &str = "/operator/";

/// Handlers of all faces.
#[derive(Clone, Debug)]
pub struct FaceRouter {
    /// Handler of the callers' face.
    pub entry: Arc<EntryHandler>,
    /// Handler of the operators' face.
    pub operators: Arc<OperatorHandler>,
    /// Handler of the backend servers' face.
    pub announcements: Arc<AnnouncementHandler>,
    /// Handlers for the dialect of a platform; if set, they replace all other handlers, except for
    /// the questions of operators on an address that does not serve callers.
    pub relay: Option<RelayFaces>,
}

impl FaceRouter {
    /// Creates a handler that serves only `faces`.
    pub fn for_faces(&self, faces: FaceSet) -> FaceHandler {
        FaceHandler {
            router: self.clone(),
            faces,
        }
    }
}

/// Handler of the requests on one listening address.
#[derive(Debug)]
pub struct FaceHandler {
    router: FaceRouter,
    faces: FaceSet,
}

impl HttpHandler for FaceHandler {
    fn handle(self: Arc<Self>, request: Request<Incoming>, peer: SocketAddr) -> HandlerFuture {
        if let Some(relay) = &self.router.relay {
            return self.relay(relay, request, peer);
        }
        let path = request.uri().path();
        if path.starts_with(BACKEND_PREFIX) && self.faces.backend_servers {
            return Arc::clone(&self.router.announcements).handle(request, peer);
        }
        if path.starts_with(OPERATOR_PREFIX) && self.faces.operators {
            return Arc::clone(&self.router.operators).handle(request, peer);
        }
        if path.starts_with(OPERATOR_PREFIX)
            || path.starts_with(BACKEND_PREFIX)
            || !self.faces.callers
        {
            let response = text_response(
                StatusCode::NOT_FOUND,
                "this address does not serve that path\n",
            );
            return Box::pin(std::future::ready(response));
        }
        Arc::clone(&self.router.entry).handle(request, peer)
    }
}

impl FaceHandler {
    fn relay(
        &self,
        relay: &RelayFaces,
        request: Request<Incoming>,
        peer: SocketAddr,
    ) -> HandlerFuture {
        if self.faces.callers {
            return Arc::clone(&relay.callers).handle(request, peer);
        }
        // Reading only: the configuration is what the operators of the platform publish.
        let is_question =
            request.method() == Method::GET && request.uri().path().starts_with(OPERATOR_PREFIX);
        if is_question && self.faces.operators {
            return Arc::clone(&self.router.operators).handle(request, peer);
        }
        if !self.faces.operators {
            return Arc::clone(&relay.heartbeats).handle(request, peer);
        }
        Arc::clone(&relay.control).handle(request, peer)
    }
}
