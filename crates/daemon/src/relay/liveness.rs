//! Watches the chain of a draft for silence, and asks engines that nobody hears whether they are alive.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use pollendrift_coordination::base::{MonotonicTime, ServerName};
use pollendrift_coordination::retries::SendOutcome;
use pollendrift_coordination::routing::ChainVerdict;
use tokio::time::sleep;

use super::answer::FailedSend;
use super::chains::ReservedChain;
use super::context::RelayContext;
use super::drafts::{CAPACITY_POLL_PERIOD, DraftRun};
use super::survey::{EngineState, probe_engine};

/// Time between two looks at a silent chain: a part of the pause that a caller may see.
const WATCH_PERIOD: Duration = Duration::from_millis(25);
/// Longest pause of full use, where a route names none.
const DEFAULT_PAUSE: Duration = Duration::from_millis(200);
/// How much later than its time a question may be given up before this host is taken to be the late
/// one: a few turns of its scheduler.
const OWN_DELAY: Duration = Duration::from_millis(20);
/// Part of the longest pause that a stream may be silent without its engines being asked. The rest
/// is for their answers and for the next chain, whose first event takes about 60 ms.
const PATIENCE_SHARE: f64 = 0.4;
/// Silence that needs no explanation, in usual times between events. Chains that are full are slow by
/// themselves; asked about after a fixed time, their engines got several questions for each request.
const USUAL_GAPS: f64 = 2.5;

impl DraftRun {
    /// As `watch`, once the draft could also go on over other engines.
    pub(super) async fn watch_for_silence(
        &self,
        chain: &ReservedChain,
        since: MonotonicTime,
        usual: Duration,
    ) -> ChainVerdict {
        loop {
            let verdict = self.watch(chain, since, usual).await;
            if self.can_reroute(chain, &verdict.suspects) || self.has_alternative(&verdict.suspects)
            {
                return verdict;
            }
            sleep(CAPACITY_POLL_PERIOD).await;
        }
    }

    /// Resolves with the engines that are at fault, once a chain has been silent since `since` by
    /// some fault. `usual` is the time that its next event usually takes.
    async fn watch(
        &self,
        chain: &ReservedChain,
        since: MonotonicTime,
        usual: Duration,
    ) -> ChainVerdict {
        let pause = self.request.route.pause_target.unwrap_or(DEFAULT_PAUSE);
        let patience = pause.mul_f64(PATIENCE_SHARE).max(usual.mul_f64(USUAL_GAPS));
        loop {
            sleep(WATCH_PERIOD).await;
            let now = self.context.clock.now();
            let judging = chain.servers();
            let verdict = self
                .context
                .health()
                .diagnose(now, since, patience, judging);
            if !verdict.suspects.is_empty() {
                return verdict;
            }
            for server in verdict.probe {
                let address = chain.address_of(&server);
                let context = Arc::clone(&self.context);
                tokio::spawn(ask_alive(context, server, address));
            }
        }
    }

    pub(super) fn silence_failure(&self, suspects: &[ServerName]) -> FailedSend {
        let names: Vec<&str> = suspects.iter().map(ServerName::as_str).collect();
        let reason = format!("silent engines: {}", names.join(" "));
        FailedSend {
            suspects: suspects.to_vec(),
            ..FailedSend::new(SendOutcome::TimedOut, reason)
        }
    }
}

/// Asks an engine whether it is alive, and notes its answer or that there is none.
async fn ask_alive(context: Arc<RelayContext>, server: ServerName, address: Option<SocketAddr>) {
    let answer_time = context.health().answer_time();
    let asked_at = context.clock.now();
    let state = match address {
        Some(address) => probe_engine(&context, &context.pool, address, answer_time).await,
        None => EngineState::TimedOut,
    };
    let now = context.clock.now();
    if matches!(state, EngineState::TimedOut) && now.since(asked_at) > answer_time + OWN_DELAY {
        log::debug!(server:% = server; "question given up late; nothing is concluded from it");
        return;
    }
    let mut health = context.health();
    match state {
        EngineState::Reported(_) | EngineState::Unclear => health.answered(now, &server),
        EngineState::Unreachable => health.mark_unreachable(now, &server),
        EngineState::TimedOut => health.unanswered(now, &server),
    }
    drop(health);
    if matches!(state, EngineState::Unreachable | EngineState::TimedOut) {
        let gone = matches!(state, EngineState::Unreachable);
        log::warn!(server:% = server, gone = gone; "engine does not answer");
    }
}
