//! What every request of a caller needs, passed in rather than global.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use http::HeaderMap;
use pollendrift_coordination::base::{CustomerName, HostName, RequestId};
use pollendrift_http::HttpClient;

use super::draft::DraftSettings;
use super::refusal::Refusal;
use crate::access::{AccessControl, bearer_token};
use crate::admission::AdmissionGate;
use crate::agreed::AgreedState;
use crate::clock::TimeSource;
use crate::fleet::BackendFleet;
use crate::lifecycle::{LifecycleStep, LifecycleWatch};
use crate::resend::ResendPolicy;
use crate::streams::StreamStore;
use crate::tasks::TaskGroup;
use crate::telemetry::{MetricRegistry, RecorderSlot};

/// Header that names a request.
pub(super) const REQUEST_ID_HEADER: &str = "x-request-id";
const MAX_REQUEST_ID_BYTES: usize = 128;

/// What handlers of callers' requests share.
pub struct EntryContext {
    /// This host.
    pub host: HostName,
    /// Life of this process, part of the request ids that it gives.
    pub incarnation: u64,
    /// Time for a call whose labels name no deadline.
    pub default_deadline: Duration,
    /// Largest body of a request, in bytes.
    pub max_body_bytes: usize,
    /// Time in which the body of a request must have come.
    pub body_timeout: Duration,
    /// The present time.
    pub clock: Arc<dyn TimeSource>,
    /// Who the callers are.
    pub access: Arc<AccessControl>,
    /// Backend servers.
    pub fleet: Arc<BackendFleet>,
    /// State that all hosts agree on.
    pub agreed: Arc<dyn AgreedState>,
    /// Sends to backend servers.
    pub client: HttpClient,
    /// How drafts run.
    pub drafts: DraftSettings,
    /// Whether new work is taken.
    pub lifecycle: LifecycleWatch,
    /// Admits requests.
    pub gate: Arc<AdmissionGate>,
    /// Streams that can go on at another entry.
    pub streams: Arc<StreamStore>,
    /// Decides on resends.
    pub resends: ResendPolicy,
    /// Evidence of this process; empty until the keepers gave it its life.
    pub recorder: Arc<RecorderSlot>,
    /// Metrics of this process.
    pub metrics: Arc<MetricRegistry>,
    /// Tasks that outlive their request; a planned stop waits for them.
    pub tasks: TaskGroup,
    /// Requests that this process has named; part of their ids.
    pub request_counter: AtomicU64,
    /// Claims that this process has asked for; part of their tickets.
    pub ticket_counter: AtomicU64,
}

impl std::fmt::Debug for EntryContext {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("EntryContext")
            .field("host", &self.host)
            .finish_non_exhaustive()
    }
}

impl EntryContext {
    /// Why the balancer should send nothing here; `None` if it should.
    pub fn unready_reason(&self) -> Option<String> {
        if self.lifecycle.step() != LifecycleStep::Serving {
            return Some("it is leaving for a planned stop".to_owned());
        }
        if let Err(stale) = self.agreed.configuration() {
            return Some(stale.to_string());
        }
        match self.recorder.get() {
            None => Some("the keepers have not yet given this process its life".to_owned()),
            Some(recorder) if !recorder.may_accept() => {
                Some("the keepers take no evidence".to_owned())
            }
            Some(_) => None,
        }
    }

    /// The caller's id of the request if it gave a fit one, else a new id.
    pub(super) fn request_id(&self, headers: &HeaderMap) -> RequestId {
        let given = headers
            .get(REQUEST_ID_HEADER)
            .and_then(|value| value.to_str().ok());
        if let Some(given) = given.filter(|given| is_fit_id(given)) {
            return given.into();
        }
        let number = self.request_counter.fetch_add(1, Ordering::Relaxed);
        format!("{}-{:x}-{number:x}", self.host, self.incarnation).into()
    }

    /// A ticket number that this process has not used.
    pub(super) fn next_ticket(&self) -> u64 {
        self.ticket_counter.fetch_add(1, Ordering::Relaxed)
    }

    /// The customer that calls, if this host takes new work.
    pub(super) fn admit_caller(&self, headers: &HeaderMap) -> Result<CustomerName, Refusal> {
        let Some(customer) = self.access.customer(headers) else {
            let detail = match bearer_token(headers) {
                Some(_) => "the bearer token names no customer",
                None => "no bearer token was sent",
            };
            return Err(Refusal::unauthorized(detail));
        };
        if self.lifecycle.step() == LifecycleStep::Closed {
            return Err(Refusal::not_ready("it is stopping as planned"));
        }
        Ok(customer)
    }
}

fn is_fit_id(id: &str) -> bool {
    let fits = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.' | b':');
    !id.is_empty() && id.len() <= MAX_REQUEST_ID_BYTES && id.bytes().all(fits)
}
