//! Sends a draft and reroutes it while it runs: orders its first engine to continue over other
//! stages.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http_body_util::Full;
use pollendrift_coordination::base::{MonotonicTime, ServerName};
use pollendrift_coordination::retries::SendOutcome;
use pollendrift_coordination::streams::EventId;
use pollendrift_dialect::{RerouteOrder, RerouteOutcome};
use pollendrift_http::read_bounded;
use tokio::time::timeout;

use super::answer::{FailedSend, OpenAnswer, send};
use super::chains::{ChainRepair, ReservedChain};
use super::drafts::DraftRun;
use super::guard::ChainGuard;
use super::request::SendTarget;

/// Time for the first engine's answer to a reroute order; the same as for a liveness probe.
const REROUTE_ORDER_TIMEOUT: Duration = Duration::from_millis(80);
/// Consecutive attempts to reroute. Each failed one excludes new stages that are unreachable or
/// lack capacity.
const MAX_ATTEMPTS: u32 = 3;
/// Time after failed attempts during which the draft is not rerouted again.
const FAILED_REROUTE_PAUSE: Duration = Duration::from_millis(400);
/// Largest body of an answer to a reroute order, in bytes.
const MAX_REPLY_BYTES: usize = 16 * 1024;

/// State of a draft's rerouting.
#[derive(Debug, Default)]
pub(super) struct RerouteState {
    /// End of the pause after failed attempts.
    pause_until: Option<MonotonicTime>,
    /// Events that the caller has received.
    pub(super) events_written: u32,
}

impl DraftRun {
    /// Sends the draft over `chain` and waits for the head of the answer. If engines of the chain
    /// are lost before that, reroutes it and replaces `chain`.
    ///
    /// Fails if the send fails, or if the chain is silent and only another chain can serve the
    /// draft.
    pub(super) async fn send(
        &mut self,
        chain: &mut ChainGuard,
        resume_after: Option<EventId>,
    ) -> Result<OpenAnswer, FailedSend> {
        let context = Arc::clone(&self.context);
        let mut since = context.clock.now();
        let Some(hop) = chain.chain.hops.first() else {
            let reason = "the chain is empty".to_owned();
            return Err(FailedSend::new(SendOutcome::NotConnected, reason));
        };
        let target = SendTarget {
            server: &chain.chain.first,
            stages: &chain.chain.hops,
            resume_after,
        };
        let dialect = Arc::clone(&context.dialect.servers);
        let written = self.request.write(since, dialect.as_ref(), target);
        let time_left = self.request.time_left(since);
        let attempt = self.request.attempt.clone();
        let first = context.receiver(&chain.chain.first);
        let sending = send(&context, &first, hop.address, written, &attempt, time_left);
        let mut sending = std::pin::pin!(sending);
        loop {
            let expected_gap = chain.chain.plan.first_token;
            let verdict = tokio::select! {
                answered = &mut sending => return answered,
                verdict = self.watch_for_silence(&chain.chain, since, expected_gap) => verdict,
            };
            let Some(rerouted) = self.reroute(&chain.chain, &verdict.suspects).await else {
                if self.has_alternative(&verdict.suspects) || self.gate.is_stopped() {
                    return Err(self.silence_failure(&verdict.suspects));
                }
                continue;
            };
            std::mem::replace(chain, rerouted).record_failed(None);
            since = context.clock.now();
        }
    }

    /// Whether other engines can replace the `lost` ones of `chain` now. The first engine can't be
    /// replaced, since it has received the request.
    pub(super) fn can_reroute(&self, chain: &ReservedChain, lost: &[ServerName]) -> bool {
        let now = self.context.clock.now();
        let is_paused = self.reroutes.pause_until.is_some_and(|until| now < until);
        let is_first_lost = lost.contains(&chain.first);
        let is_held = is_paused || self.is_held();
        if is_held || is_first_lost || self.context.has_back_off(now, &chain.first) {
            return false;
        }
        self.with_repair(now, lost, |repair| {
            self.context.chains().can_repair(now, chain, repair)
        })
    }

    /// Replaces the `lost` engines of `chain` and returns the new chain once the first engine has
    /// confirmed it; `None` if the draft can't be rerouted.
    ///
    /// Without rerouting, a rack failure under hundreds of drafts forces a resend of each: every
    /// stage prefills the prompt again, each resend spends a retry of a budget that hundreds of
    /// hosts share, and drafts are aborted once the budget is used up. A rerouted draft stays one
    /// request, and only the new stages prefill.
    pub(super) async fn reroute(
        &mut self,
        chain: &ReservedChain,
        lost: &[ServerName],
    ) -> Option<ChainGuard> {
        if !self.can_reroute(chain, lost) {
            return None;
        }
        let mut lost = lost.to_vec();
        for _ in 0..MAX_ATTEMPTS {
            let now = self.context.clock.now();
            let repaired = self.with_repair(now, &lost, |repair| {
                self.context.chains().repair(now, chain, repair)
            });
            let Ok(next) = repaired else {
                break;
            };
            let mut next = ChainGuard::new(&self.context, next);
            let outcome = self.order(&next.chain).await;
            log::info!(request = self.request.attempt.as_str(), outcome = describe_outcome(outcome.as_ref()).as_str(),
                lost = join_names(&lost).as_str(), after = self.reroutes.events_written; "first engine answered a reroute order");
            match outcome {
                Some(RerouteOutcome::Accepted) => {
                    next.hold_tracked(self.begin_send(&next.chain));
                    self.track(&mut next);
                    self.record_sent(&mut next);
                    return Some(next);
                }
                Some(RerouteOutcome::NoCapacity { culprit }) => {
                    let unusable = unusable_stages(chain, &next.chain, culprit);
                    next.record_failed(None);
                    unusable
                        .iter()
                        .for_each(|server| self.context.chains().record_declined(now, server));
                    lost.extend(unusable);
                }
                Some(RerouteOutcome::NotRunning) | None => {
                    next.record_failed(None);
                    break;
                }
            }
        }
        let now = self.context.clock.now();
        self.reroutes.pause_until = Some(now.after(FAILED_REROUTE_PAUSE));
        None
    }

    fn with_repair<T, F>(&self, now: MonotonicTime, lost: &[ServerName], work: F) -> T
    where
        F: FnOnce(&ChainRepair<'_>) -> T,
    {
        let context = &self.context;
        let suspects = self.context.health().suspects(now);
        let may_take =
            |server: &ServerName| context.may_take_work(now, server) && !suspects.contains(server);
        work(&ChainRepair {
            request: &self.request,
            lost,
            events_written: self.reroutes.events_written,
            may_take: &may_take,
        })
    }

    /// Orders the first engine to continue over `chain`; `None` if it sends no valid answer in
    /// time.
    async fn order(&self, chain: &ReservedChain) -> Option<RerouteOutcome> {
        let address = chain.hops.first()?.address;
        let dialect = Arc::clone(&self.context.dialect.servers);
        let order = RerouteOrder {
            request: &self.request.attempt,
            stages: &chain.hops,
        };
        let request = dialect.write_reroute(&chain.first, order).map(Full::new);
        let receiver = self.context.receiver(&chain.first);
        let exchange = async {
            let answer = self.context.pool.send(address, request).await.ok()?;
            let (parts, mut body) = answer.into_parts();
            self.context
                .apply_probe_statements(&receiver, &dialect.read(&parts));
            let reply = read_bounded(&mut body, MAX_REPLY_BYTES).await.ok()?;
            body.return_to_pool(&parts.headers);
            Some(dialect.read_reroute(parts.status, &reply))
        };
        timeout(REROUTE_ORDER_TIMEOUT, exchange)
            .await
            .ok()
            .flatten()
    }
}

/// New stages of `next` that can't be used because they are unreachable or lack capacity: the one
/// that the engine names, else all of them.
fn unusable_stages(
    former: &ReservedChain,
    next: &ReservedChain,
    culprit: Option<SocketAddr>,
) -> Vec<ServerName> {
    let named_server = culprit.and_then(|address| next.server_at(address));
    if let Some(server) = named_server {
        return vec![server.clone()];
    }
    let is_new = |server: &&ServerName| former.servers().all(|kept| kept != *server);
    next.servers().filter(is_new).cloned().collect()
}

/// Outcome of a reroute order in log lines; `None` stands for a missing answer, and `NotThere` for
/// an engine that does not run the request.
fn describe_outcome(outcome: Option<&RerouteOutcome>) -> String {
    match outcome {
        Some(RerouteOutcome::Accepted) => "accepted".to_owned(),
        Some(RerouteOutcome::NoCapacity { culprit: None }) => "no capacity".to_owned(),
        Some(RerouteOutcome::NoCapacity {
            culprit: Some(address),
        }) => format!("no capacity at {address}"),
        Some(RerouteOutcome::NotRunning) => "request not running".to_owned(),
        None => "no answer".to_owned(),
    }
}

/// Server names separated by spaces, for log lines.
fn join_names(servers: &[ServerName]) -> String {
    let names: Vec<&str> = servers.iter().map(ServerName::as_str).collect();
    names.join(" ")
}
