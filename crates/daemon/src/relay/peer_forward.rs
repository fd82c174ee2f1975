//! Forwards requests of this host's callers to another host, while this host reaches no server of
//! their service.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::response;
use pollendrift_coordination::base::{HostName, MonotonicTime, ServiceName};
use pollendrift_coordination::forwarding::ForwardHostDump;
use pollendrift_coordination::retries::SendOutcome;
use pollendrift_coordination::streams::EventId;
use pollendrift_dialect::RefusalKind;
use serde::Serialize;
use tokio::time::timeout;

use super::answer::{AnswerBody, FailedSend, OpenAnswer};
use super::context::RelayContext;
use super::request::{Refused, RelayRequest, refused};
use crate::clock::millis;
use crate::peers::{
    ForwardChannel, ForwardError, ForwardRefusal, ForwardedHistory, ForwardedPart, ForwardedRequest,
};

/// Hosts that one request is forwarded to at most. The second one is for a host that is full, leaves,
/// or is cut off itself.
const MAX_HOSTS: usize = 2;
/// Time after the loss of the links to a service for which requests wait for the list of hosts.
const MAX_LIST_WAIT: Duration = Duration::from_millis(250);
/// Retry delay for a caller whose request neither this host nor another can send. Its next attempt
/// reaches another host.
const RETRY_UNREACHABLE: Duration = Duration::from_millis(500);

/// What this host knows about forwarding, for the dump.
#[derive(Debug, Serialize)]
pub(crate) struct ForwardingDump {
    /// Services that this host does not reach.
    unreachable_services: Vec<ServiceName>,
    /// Hosts that requests may be forwarded to.
    hosts: Vec<ForwardHostDump>,
}

/// Hosts that one request was forwarded to, and the last refusal.
#[derive(Default)]
pub(super) struct ForwardAttempts {
    tried_hosts: Vec<HostName>,
    /// Hosts among them at which a server may have run the request.
    runs: u32,
    refusal: Option<Refused>,
}

/// Reason why a forwarded request has no answer.
pub(super) enum FailedForward {
    /// The request has not run, and another host may be tried.
    NotRun {
        /// Whether a server has received and declined it.
        has_arrived: bool,
    },
    /// The request may have run.
    Unknown(FailedSend),
}

/// Body of an answer that another host sends.
pub(super) struct HostBody {
    channel: ForwardChannel,
    guard: ForwardGuard,
}

/// Counts a request as under way to another host until dropped.
struct ForwardGuard {
    context: Arc<RelayContext>,
    host: HostName,
}

impl Drop for ForwardGuard {
    fn drop(&mut self) {
        self.context.forwarding.table().ended(&self.host);
    }
}

impl ForwardAttempts {
    /// Servers that may have run the request for another host.
    pub(super) fn runs(&self) -> u32 {
        self.runs
    }

    /// Refusal of a request that has not run, and that no host can send.
    pub(super) fn refusal(&self) -> Refused {
        let own = || {
            let reason = "this host reaches no server of the service, and no other host takes it";
            refused(RefusalKind::NotRun, reason).retry_after(RETRY_UNREACHABLE)
        };
        self.refusal.clone().unwrap_or_else(own)
    }
}

impl RelayContext {
    /// Returns what this host knows about forwarding.
    pub(crate) fn dump_forwarding(&self) -> ForwardingDump {
        ForwardingDump {
            unreachable_services: self.reachability().unreachable().cloned().collect(),
            hosts: self.forwarding.table().dump(),
        }
    }

    /// Whether this host can't send `request` itself: it reaches no server of the service.
    pub(super) fn is_cut_off_from(&self, request: &RelayRequest) -> bool {
        self.reachability().is_unreachable(&request.service.name)
    }

    /// Whether `request` may be forwarded now. Forwarded requests are not forwarded again.
    pub(super) fn may_forward(
        &self,
        now: MonotonicTime,
        request: &RelayRequest,
        attempts: &ForwardAttempts,
    ) -> bool {
        let is_cut_off = request.origin.is_none() && self.is_cut_off_from(request);
        is_cut_off && attempts.tried_hosts.len() < MAX_HOSTS && {
            let table = self.forwarding.table();
            table.has_host_for(now, &request.service.name, &attempts.tried_hosts)
        }
    }

    /// History of a request for `service` to be forwarded now. A repeat comes out of this host's retry
    /// budget or, once that is used up, out of that of the other host.
    pub(super) fn forwarded_history(
        &self,
        now: MonotonicTime,
        service: &ServiceName,
        tried_servers: u32,
        is_repeat: bool,
    ) -> ForwardedHistory {
        ForwardedHistory {
            tried_servers,
            is_unpaid_repeat: is_repeat && !self.spend_retry(now, service),
        }
    }

    /// Waits for the list of hosts that requests may be forwarded to, right after this host has lost
    /// its links to a service. A keeper sends it within a few milliseconds.
    pub(super) async fn await_hosts(&self, request: &RelayRequest) {
        let listed = async {
            loop {
                let listed = self.forwarding.hosts_listed.notified();
                if self.forwarding.table().has_list() {
                    return;
                }
                listed.await;
            }
        };
        let now = self.clock.now();
        let service = &request.service.name;
        let lost_for = self.reachability().unreachable_for(now, service);
        if let Some(lost_for) = lost_for.filter(|_| request.origin.is_none()) {
            // Without a list, the request is refused.
            let _ = timeout(MAX_LIST_WAIT.saturating_sub(lost_for), listed).await;
        }
    }

    /// Forwards `request` to another host and waits for the head of the answer.
    pub(super) async fn forward(
        self: &Arc<Self>,
        request: &RelayRequest,
        attempts: &mut ForwardAttempts,
        history: ForwardedHistory,
        resume_after: Option<EventId>,
    ) -> Result<OpenAnswer, FailedForward> {
        let now = self.clock.now();
        let service = &request.service.name;
        let chosen = self
            .forwarding
            .table()
            .start(now, service, &attempts.tried_hosts);
        let Some(target) = chosen else {
            return Err(FailedForward::NotRun { has_arrived: false });
        };
        attempts.tried_hosts.push(target.host.clone());
        let guard = ForwardGuard {
            context: Arc::clone(self),
            host: target.host.clone(),
        };
        log::info!(request = request.attempt.as_str(), host:% = target.host, service:% = service,
            after = resume_after.map(|id| id.0), left_ms = millis(request.time_left(now)); "forwarded to another host");
        let sent = async {
            let opening = self.channels.acquire(now, &target).await;
            let mut channel = opening.map_err(ForwardError::NotSent)?;
            let forwarded = ForwardedRequest {
                request: &request.attempt,
                head: &request.head,
                body: &request.body,
                service,
                time_left: request.time_left(self.clock.now()),
                history,
                resume_after,
            };
            let parts = channel.send(forwarded).await?;
            Ok((parts, channel))
        };
        match sent.await {
            Ok((parts, channel)) => {
                attempts.runs += 1;
                self.metrics.record_forwarded("answered");
                Ok(answer_of(parts, HostBody { channel, guard }))
            }
            Err(error) => {
                let failed = self.record_failed_forward(request, attempts, &guard.host, error);
                attempts.runs += u32::from(matches!(failed, FailedForward::Unknown(_)));
                Err(failed)
            }
        }
    }

    fn record_failed_forward(
        &self,
        request: &RelayRequest,
        attempts: &mut ForwardAttempts,
        host: &HostName,
        error: ForwardError,
    ) -> FailedForward {
        let now = self.clock.now();
        let (result, reason) = match &error {
            ForwardError::NotSent(error) => ("not-sent", error.to_string()),
            ForwardError::Lost(error) => ("lost", error.to_string()),
            ForwardError::Refused(refused) => ("refused", refused.refusal.reason.clone()),
        };
        self.metrics.record_forwarded(result);
        log::info!(request = request.attempt.as_str(), host:% = host, result = result,
            reason = reason.as_str(); "forwarding failed");
        let failed = |outcome| FailedForward::Unknown(FailedSend::new(outcome, reason.clone()));
        let mut table = self.forwarding.table();
        match error {
            ForwardError::NotSent(_) => {
                table.record_failed(now, host);
                FailedForward::NotRun { has_arrived: false }
            }
            ForwardError::Lost(_) => {
                table.record_failed(now, host);
                failed(SendOutcome::ResetAfterSend)
            }
            ForwardError::Refused(ForwardRefusal {
                refusal,
                has_arrived,
            }) => match refusal.kind {
                RefusalKind::TimedOut => failed(SendOutcome::TimedOut),
                RefusalKind::UnknownOutcome => failed(SendOutcome::ResetAfterSend),
                // This host has accepted the request. The other may know another configuration.
                _ => {
                    // A host that admits by priority may refuse this request and admit the next.
                    if request.priority.is_none() {
                        table.record_refused(now, host, &request.service.name);
                    }
                    let kind = RefusalKind::NotRun;
                    let wait = refusal.retry_after.unwrap_or(RETRY_UNREACHABLE);
                    attempts.refusal = Some(refused(kind, refusal.reason).retry_after(wait));
                    FailedForward::NotRun { has_arrived }
                }
            },
        }
    }
}

fn answer_of(parts: response::Parts, body: HostBody) -> OpenAnswer {
    OpenAnswer {
        parts,
        body: AnswerBody::Host(body),
        load: None,
    }
}

impl HostBody {
    /// Receives the next part of the body; `None` at its end. A cancelled wait loses nothing.
    pub(super) async fn next(&mut self) -> Option<Result<Bytes, String>> {
        match self.channel.next_part().await {
            Ok(ForwardedPart::Data(bytes)) => Some(Ok(bytes)),
            Ok(ForwardedPart::End) => None,
            Err(error) => {
                let host = &self.guard.host;
                Some(Err(format!("answer forwarded by {host}: {error}")))
            }
        }
    }

    /// Keeps the channel for another request; the body must have ended.
    pub(super) fn finish(self) {
        let context = &self.guard.context;
        context.channels.release(context.clock.now(), self.channel);
    }
}
