//! HTTP handler for announcements and heartbeats of backend servers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use pollendrift_border::{Announcement, AnnouncementReply};
use pollendrift_coordination::leases::MergeVerdict;
use pollendrift_http::{
    BodyMemory, HandlerFuture, HttpHandler, ReadFailure, RequestLimits, ResponseBody,
    json_response, read_json_request, text_response,
};

use crate::access::AccessControl;
use crate::clock::{TimeSource, millis};
use crate::fleet::{AnnounceError, AnnouncementNumber, BackendFleet};

/// Path of announcement requests.
pub const ANNOUNCEMENT_PATH: &str = "/backend/v1/announcements";
/// Time limit for receiving the body of an announcement.
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_secs(10);
const MAX_ANNOUNCEMENT_BYTES: usize = 64 * 1024;

/// Receives announcements and records them in the fleet.
pub struct AnnouncementHandler {
    /// Table of backend servers that announcements update.
    pub fleet: Arc<BackendFleet>,
    /// Access rules that decide which senders may announce.
    pub access: Arc<AccessControl>,
    /// Source of the current time.
    pub clock: Arc<dyn TimeSource>,
    /// Memory of the bodies of requests to all faces.
    pub request_memory: BodyMemory,
    /// Lease that an announcement renews.
    pub lease: Duration,
    /// Heartbeat period that replies tell servers to use.
    pub heartbeat: Duration,
}

impl std::fmt::Debug for AnnouncementHandler {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("AnnouncementHandler")
            .field("lease", &self.lease)
            .finish_non_exhaustive()
    }
}

impl AnnouncementHandler {
    async fn answer(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        if request.method() != Method::POST || request.uri().path() != ANNOUNCEMENT_PATH {
            return text_response(
                StatusCode::NOT_FOUND,
                format!("POST {ANNOUNCEMENT_PATH} is served\n"),
            );
        }
        if !self.access.admits_backend_server(request.headers()) {
            return text_response(
                StatusCode::UNAUTHORIZED,
                "a bearer token of a backend server is expected\n",
            );
        }
        let announcement: Announcement =
            match read_announcement(request, &self.request_memory).await {
                Ok(announcement) => announcement,
                Err(failure) => {
                    return text_response(failure.status(), format!("{failure}\n"));
                }
            };
        match self.fleet.announce(self.clock.now(), &announcement) {
            Ok(MergeVerdict::Stale) => {
                json_response(StatusCode::CONFLICT, &self.reply(&announcement))
            }
            Ok(_) => json_response(StatusCode::OK, &self.reply(&announcement)),
            Err(error @ AnnounceError::Malformed { .. }) => {
                text_response(StatusCode::BAD_REQUEST, format!("{error}\n"))
            }
            Err(error @ AnnounceError::Full) => {
                text_response(StatusCode::SERVICE_UNAVAILABLE, format!("{error}\n"))
            }
        }
    }

    fn reply(&self, announcement: &Announcement) -> AnnouncementReply {
        let held = self.fleet.announcement_number(&announcement.server);
        let held = held.unwrap_or(AnnouncementNumber {
            incarnation: announcement.incarnation,
            sequence: announcement.sequence,
        });
        AnnouncementReply {
            heard_incarnation: held.incarnation,
            heard_sequence: held.sequence,
            lease_millis: millis(self.lease),
            heartbeat_millis: millis(self.heartbeat),
        }
    }
}

impl HttpHandler for AnnouncementHandler {
    fn handle(self: Arc<Self>, request: Request<Incoming>, _peer: SocketAddr) -> HandlerFuture {
        Box::pin(async move { self.answer(request).await })
    }
}

async fn read_announcement(
    request: Request<Incoming>,
    memory: &BodyMemory,
) -> Result<Announcement, ReadFailure> {
    let limits = RequestLimits {
        max_bytes: MAX_ANNOUNCEMENT_BYTES,
        timeout: ANNOUNCEMENT_TIMEOUT,
        memory,
    };
    let (announcement, _) = read_json_request(request, limits).await?;
    Ok(announcement)
}
