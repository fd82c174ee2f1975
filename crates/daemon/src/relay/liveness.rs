//! Detects silent chains of drafts, and probes whether their engines are alive.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use pollendrift_coordination::base::{MonotonicTime, ServerName};
use pollendrift_coordination::poison::LossKind;
use pollendrift_coordination::retries::SendOutcome;
use pollendrift_coordination::routing::ChainVerdict;
use tokio::time::sleep;

use super::answer::FailedSend;
use super::chains::ReservedChain;
use super::context::RelayContext;
use super::drafts::{CAPACITY_POLL_PERIOD, DraftRun};
use super::survey::{EngineState, probe_engine};

/// Time between two checks of a chain for silence: a fraction of the pause that a caller may see.
const WATCH_PERIOD: Duration = Duration::from_millis(25);
/// Pause target of routes without one.
const DEFAULT_PAUSE_TARGET: Duration = Duration::from_millis(200);
/// Delay after the timeout of a probe above which this host is considered too busy to have noticed
/// the answer: a few time slices of its scheduler.
const MAX_LOCAL_DELAY: Duration = Duration::from_millis(20);
/// Fraction of the pause target for which a stream may be silent before its engines are probed. The
/// rest is left for their answers and for the next chain, whose first event takes about 60 ms.
const SILENCE_SHARE: f64 = 0.4;
/// Silence that causes no probes, in multiples of the expected gap between events. Full chains are
/// slow without a fault; with a fixed time, their engines got several probes for each request.
const MAX_SILENT_GAPS: f64 = 2.5;

impl DraftRun {
    /// Resolves like `watch`, but only once the draft can also continue on other engines, or must not be
    /// sent any more.
    pub(super) async fn watch_for_silence(
        &self,
        chain: &ReservedChain,
        since: MonotonicTime,
        expected_gap: Duration,
    ) -> ChainVerdict {
        loop {
            let verdict = self.watch(chain, since, expected_gap).await;
            // If all links of this host are cut, other engines would be silent, too.
            self.context.await_checks(&self.request.service.name).await;
            if !self.context.is_cut_off_from(&self.request) {
                let suspects = verdict.suspects.iter();
                suspects.for_each(|server| self.context.record_loss(server, LossKind::Silent));
            }
            let may_continue = self.can_reroute(chain, &verdict.suspects)
                || self.has_alternative(&verdict.suspects);
            if may_continue || self.gate.is_stopped() {
                return verdict;
            }
            sleep(CAPACITY_POLL_PERIOD).await;
        }
    }

    /// Resolves with the suspected engines once the chain is silent because of a fault. The silence
    /// started at `since`; `expected_gap` is the usual time until the next event.
    async fn watch(
        &self,
        chain: &ReservedChain,
        since: MonotonicTime,
        expected_gap: Duration,
    ) -> ChainVerdict {
        let pause_target = self
            .request
            .route
            .pause_target
            .unwrap_or(DEFAULT_PAUSE_TARGET);
        let silence_timeout = pause_target
            .mul_f64(SILENCE_SHARE)
            .max(expected_gap.mul_f64(MAX_SILENT_GAPS));
        loop {
            sleep(WATCH_PERIOD).await;
            let now = self.context.clock.now();
            let servers = chain.servers();
            let verdict = self
                .context
                .health()
                .diagnose(now, since, silence_timeout, servers);
            if !verdict.suspects.is_empty() {
                return verdict;
            }
            for server in verdict.probe {
                let address = chain.address_of(&server);
                let context = Arc::clone(&self.context);
                tokio::spawn(probe_liveness(context, server, address));
            }
        }
    }

    /// Failed send of a chain whose `suspects` are silent.
    pub(super) fn silence_failure(&self, suspects: &[ServerName]) -> FailedSend {
        let names: Vec<&str> = suspects.iter().map(ServerName::as_str).collect();
        let reason = format!("silent engines: {}", names.join(" "));
        FailedSend {
            suspects: suspects.to_vec(),
            ..FailedSend::new(SendOutcome::TimedOut, reason)
        }
    }
}

/// Probes an engine and records whether it answered. A timeout that this host noticed late is not
/// recorded, because the answer may have arrived in time.
async fn probe_liveness(
    context: Arc<RelayContext>,
    server: ServerName,
    address: Option<SocketAddr>,
) {
    let answer_time = context.health().answer_time();
    let probed_at = context.clock.now();
    let state = match address {
        Some(address) => probe_engine(&context, &context.pool, &server, address, answer_time).await,
        None => EngineState::TimedOut,
    };
    let now = context.clock.now();
    if matches!(state, EngineState::TimedOut)
        && now.since(probed_at) > answer_time + MAX_LOCAL_DELAY
    {
        log::debug!(server:% = server; "probe result ignored: this host noticed the timeout late");
        return;
    }
    if matches!(state, EngineState::Unreachable | EngineState::TimedOut) {
        context.suspect_service_of(&server);
    }
    // A connection that is refused does not prove that the engine is gone if this host's new
    // connections to all servers are: its streams may go on over older ones.
    let is_gone =
        matches!(state, EngineState::Unreachable) && !context.has_lost_service_of(&server).await;
    let now = context.clock.now();
    let mut health = context.health();
    match state {
        EngineState::Reported(_) | EngineState::Unclear => health.answered(now, &server),
        EngineState::Unreachable if is_gone => health.mark_unreachable(now, &server),
        EngineState::Unreachable | EngineState::TimedOut => health.unanswered(now, &server),
        EngineState::NotProbed => {}
    }
    drop(health);
    if is_gone {
        context.record_gone(&server);
    }
    if matches!(state, EngineState::Unreachable | EngineState::TimedOut) {
        log::warn!(server:% = server, gone = is_gone; "engine did not answer a liveness probe");
    }
}
