//! Sends a draft, and reroutes it while it runs: its first engine is ordered to go on over other stages.

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

/// Time for the first engine's answer: as long as for the question whether it is alive.
const ORDER_TIME: Duration = Duration::from_millis(80);
/// Tries in a row; each that fails names an engine that has no room or is not there.
const TRIES: u32 = 3;
/// Time after tries that failed for which the draft is not rerouted again.
const FAILED_PAUSE: Duration = Duration::from_millis(400);
/// Largest answer to the order.
const MAX_REPLY_BYTES: usize = 16 * 1024;

/// What a draft knows of its own rerouting.
#[derive(Debug, Default)]
pub(super) struct RerouteState {
    /// Until when it is not tried.
    pause_until: Option<MonotonicTime>,
    /// Events that the caller holds.
    pub(super) events_written: u32,
}

impl DraftRun {
    /// Sends the draft over `chain`, which is rerouted while engines of it are lost before it answers.
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
        let left = self.request.time_left(since);
        let attempt = self.request.attempt.clone();
        let sending = send(&context, hop.address, written, &attempt, left);
        let mut sending = std::pin::pin!(sending);
        loop {
            let usual = chain.chain.plan.first_token;
            let silence = tokio::select! {
                answered = &mut sending => return answered,
                silence = self.watch_for_silence(&chain.chain, since, usual) => silence,
            };
            let Some(rerouted) = self.reroute(&chain.chain, &silence.suspects).await else {
                if self.has_alternative(&silence.suspects) {
                    return Err(self.silence_failure(&silence.suspects));
                }
                continue;
            };
            std::mem::replace(chain, rerouted).failed(None);
            since = context.clock.now();
        }
    }

    /// Whether engines are there that could take the place of `lost` ones in `chain`.
    pub(super) fn can_reroute(&self, chain: &ReservedChain, lost: &[ServerName]) -> bool {
        let now = self.context.clock.now();
        let is_paused = self.reroutes.pause_until.is_some_and(|until| now < until);
        let is_first_lost = lost.contains(&chain.first);
        if is_paused || is_first_lost {
            return false;
        }
        self.with_repair(now, lost, |repair| {
            self.context.chains().can_repair(now, chain, repair)
        })
    }

    /// The chain with other engines in place of `lost` ones, once its first engine goes on over them;
    /// `None` where it can't be rerouted.
    ///
    /// Failure: a rack dies under hundreds of drafts. Symptom: each was sent anew, to read its prompt
    /// once more on every stage, as one retry of a budget that hundreds of hosts share, and cut where that
    /// was used up.
    /// Rerouted, a draft stays one request, and only the new stages read.
    pub(super) async fn reroute(
        &mut self,
        chain: &ReservedChain,
        lost: &[ServerName],
    ) -> Option<ChainGuard> {
        if !self.can_reroute(chain, lost) {
            return None;
        }
        let mut lost = lost.to_vec();
        for _ in 0..TRIES {
            let now = self.context.clock.now();
            let taken = self.with_repair(now, &lost, |repair| {
                self.context.chains().repair(now, chain, repair)
            });
            let Ok(next) = taken else {
                break;
            };
            let next = ChainGuard::new(&self.context, next);
            let outcome = self.order(&next.chain).await;
            log::info!(request = self.request.attempt.as_str(), outcome:? = outcome,
                lost = names(&lost).as_str(), after = self.reroutes.events_written; "chain rerouted");
            match outcome {
                Some(RerouteOutcome::Taken) => return Some(next),
                Some(RerouteOutcome::NoRoom { culprit }) => {
                    let full = full_stages(chain, &next.chain, culprit);
                    next.failed(None);
                    full.iter()
                        .for_each(|server| self.context.chains().record_declined(now, server));
                    lost.extend(full);
                }
                Some(RerouteOutcome::NotThere) | None => {
                    next.failed(None);
                    break;
                }
            }
        }
        let now = self.context.clock.now();
        self.reroutes.pause_until = Some(now.after(FAILED_PAUSE));
        None
    }

    fn with_repair<T, F>(&self, now: MonotonicTime, lost: &[ServerName], work: F) -> T
    where
        F: FnOnce(&ChainRepair<'_>) -> T,
    {
        let fleet = &self.context.fleet;
        let suspects = self.context.health().suspects(now);
        let may_take =
            |server: &ServerName| fleet.may_take(now, server) && !suspects.contains(server);
        work(&ChainRepair {
            request: &self.request,
            lost,
            events_written: self.reroutes.events_written,
            may_take: &may_take,
        })
    }

    /// Orders the first engine to go on over `chain`; `None` if nothing comes back in time.
    async fn order(&self, chain: &ReservedChain) -> Option<RerouteOutcome> {
        let address = chain.hops.first()?.address;
        let dialect = Arc::clone(&self.context.dialect.servers);
        let order = RerouteOrder {
            request: &self.request.attempt,
            stages: &chain.hops,
        };
        let request = dialect.write_reroute(&chain.first, order).map(Full::new);
        let asking = async {
            let answer = self.context.pool.send(address, request).await.ok()?;
            let (parts, body) = answer.response.into_parts();
            let body = read_bounded(body, MAX_REPLY_BYTES).await.ok()?;
            answer.connection.keep(&parts.headers);
            Some(dialect.read_reroute(parts.status, &body))
        };
        timeout(ORDER_TIME, asking).await.ok().flatten()
    }
}

/// New stages of `next` that have no room: the one that its engine names, else any of them.
fn full_stages(
    former: &ReservedChain,
    next: &ReservedChain,
    culprit: Option<SocketAddr>,
) -> Vec<ServerName> {
    let named = culprit.and_then(|address| next.server_at(address));
    if let Some(server) = named {
        return vec![server.clone()];
    }
    let is_new = |server: &&ServerName| former.servers().all(|kept| kept != *server);
    next.servers().filter(is_new).cloned().collect()
}

fn names(servers: &[ServerName]) -> String {
    let names: Vec<&str> = servers.iter().map(ServerName::as_str).collect();
    names.join(" ")
}
