//! A caller's request as the relay processes it.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::request::Parts;
use http_body_util::Full;
use pollendrift_coordination::base::{
    CustomerName, MonotonicTime, PartName, RequestId, ServerName, ServiceName,
};
use pollendrift_coordination::limits::RequestPriority;
use pollendrift_coordination::poison::ContentDigest;
use pollendrift_coordination::routes::{Route, ServiceSpec};
use pollendrift_coordination::streams::EventId;
use pollendrift_dialect::{
    DraftSize, RefusalKind, RelayRefusal, ServerDialect, ServerRequest, StageHop,
};
use pollendrift_http::ConnectionHandle;

use crate::poison::WithheldRequest;

/// Divisor of the expected answer tokens for which KV memory is requested.
const GROWTH_DIVISOR: u32 = 2;
/// Priorities of requests at engines, which admit lower numbers first.
const RESUMED_PRIORITY: u8 = 0;
const URGENT_PRIORITY: u8 = 2;
const NORMAL_PRIORITY: u8 = 5;
const BATCH_PRIORITY: u8 = 8;

/// A request for which the route, the service and the customer are known.
#[derive(Debug)]
pub(super) struct RelayRequest {
    pub(super) head: Parts,
    pub(super) body: Bytes,
    pub(super) attempt: RequestId,
    /// Identity that all attempts of the caller share.
    pub(super) content: ContentDigest,
    pub(super) route: Arc<Route>,
    pub(super) service: Arc<ServiceSpec>,
    pub(super) customer: Option<CustomerName>,
    /// Priority among the drafts of the service; `None` if all of them have the same.
    pub(super) priority: Option<RequestPriority>,
    pub(super) draft: Option<DraftSize>,
    /// Parts of the prompt that other requests may share.
    pub(super) shared_parts: Arc<[PartName]>,
    /// Last event of an earlier answer that the caller received.
    pub(super) resume_after: Option<EventId>,
    pub(super) arrived: MonotonicTime,
    /// Time by which the caller must have an answer: arrival plus the shorter of the caller's
    /// timeout and the route's.
    pub(super) deadline: MonotonicTime,
    /// Set if another host forwarded the request.
    pub(super) origin: Option<ForwardOrigin>,
}

/// What the host that forwarded a request has done with it.
#[derive(Clone, Debug)]
pub(super) struct ForwardOrigin {
    /// Service that the host chose.
    pub(super) service: ServiceName,
    /// Servers that may have run the request already.
    pub(super) tried_servers: u32,
}

/// Destination of one send of a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct SendTarget<'send> {
    pub(super) server: &'send ServerName,
    pub(super) stages: &'send [StageHop],
    pub(super) resume_after: Option<EventId>,
}

impl RelayRequest {
    /// Connection of the caller; `None` if another host forwarded the request.
    pub(super) fn caller(&self) -> Option<&ConnectionHandle> {
        self.head.extensions.get()
    }

    /// Returns the time left until the deadline; zero after it.
    pub(super) fn time_left(&self, now: MonotonicTime) -> Duration {
        self.deadline.since(now)
    }

    /// Tokens of the answer for which KV memory is needed. Averaged over its run, a draft holds half
    /// of its answer, and an engine runs many drafts of different progress.
    pub(super) fn expected_tokens(&self) -> u32 {
        let draft = self.draft.as_ref();
        let expected = draft.map_or(1, |draft| {
            draft.expected_tokens.unwrap_or(draft.answer_tokens)
        });
        (expected / GROWTH_DIVISOR).max(1)
    }

    /// KV memory that the draft holds on each engine, in tokens, averaged over its run.
    pub(super) fn kv_tokens(&self) -> u64 {
        let prompt = self.draft.as_ref().map_or(0, |draft| draft.prompt_tokens);
        u64::from(prompt) + u64::from(self.expected_tokens())
    }

    /// Time that the caller waits in total, from the arrival of the request.
    pub(super) fn timeout(&self) -> Duration {
        self.deadline.since(self.arrived)
    }

    /// Names of the shared parts, for log lines.
    pub(super) fn part_names(&self) -> String {
        let names: Vec<&str> = self.shared_parts.iter().map(PartName::as_str).collect();
        names.join(" ")
    }

    /// Servers that may get the request from this host.
    pub(super) fn max_attempts(&self) -> u32 {
        let tried = self
            .origin
            .as_ref()
            .map_or(0, |origin| origin.tried_servers);
        self.route.max_attempts.saturating_sub(tried).max(1)
    }

    /// Builds the HTTP request for the server of `target`.
    pub(super) fn write(
        &self,
        now: MonotonicTime,
        dialect: &dyn ServerDialect,
        target: SendTarget<'_>,
    ) -> http::Request<Full<Bytes>> {
        let send = ServerRequest {
            head: &self.head,
            server: target.server,
            customer: self.customer.as_ref(),
            time_left: self.time_left(now),
            priority: self.priority.map(|priority| match priority {
                _ if target.resume_after.is_some() => RESUMED_PRIORITY,
                RequestPriority::Urgent => URGENT_PRIORITY,
                RequestPriority::Normal => NORMAL_PRIORITY,
                RequestPriority::Batch => BATCH_PRIORITY,
            }),
            stages: target.stages,
            resume_after: target.resume_after,
        };
        let mut request = http::Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = self.head.uri.clone();
        *request.headers_mut() = dialect.write(&send);
        request
    }
}

/// Refusal of a request that gets no answer from a backend server.
#[derive(Clone, Debug)]
pub(super) struct Refused {
    pub(super) refusal: RelayRefusal,
    /// Whether a server may have received the request, run or not.
    pub(super) has_arrived: bool,
}

impl Refused {
    /// Adds the time after which another attempt may be served.
    pub(super) fn retry_after(mut self, wait: Duration) -> Self {
        self.refusal.retry_after = Some(wait);
        self
    }

    /// States whether a server may have received the request.
    pub(super) fn arrived(mut self, has_arrived: bool) -> Self {
        self.has_arrived = has_arrived;
        self
    }
}

/// Creates the refusal of a request that is not sent because servers ended under it.
pub(super) fn withheld(request: &WithheldRequest, may_have_run: bool) -> Refused {
    let kind = if may_have_run {
        RefusalKind::UnknownOutcome
    } else {
        RefusalKind::NotRun
    };
    refused(kind, request.to_string()).retry_after(request.wait())
}

/// Creates a refusal without a retry delay.
pub(super) fn refused<R>(kind: RefusalKind, reason: R) -> Refused
where
    R: Into<String>,
{
    Refused {
        refusal: RelayRefusal {
            kind,
            reason: reason.into(),
            retry_after: None,
        },
        has_arrived: false,
    }
}
