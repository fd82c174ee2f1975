//! The task of a keeper: collects inputs, ticks the agreement core and executes its effects.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use pollendrift_coordination::agreement::{
    AgreementEffect, AgreementEnvelope, AgreementInput, AgreementNode, HandOverOutcome, LogIndex,
    RequestToken, StateMachine,
};
use pollendrift_store::{CommitReport, CommitThread};
use tokio::sync::mpsc;
use tokio::task::yield_now;
use tokio::time::sleep;

use super::effects::AppliedResult;
use super::error::{KeeperError, SubmitError};
use super::port::{KeeperInbox, KeeperRequest, LocalOutcome, OutcomeSender};
use super::replay::LogReplay;
use super::schedule::SnapshotSchedule;
use super::status::KeeperStatus;
use crate::clock::{TimeSource, millis};
use crate::peers::PeerHub;

/// Maximum number of messages and requests in one tick, so that heartbeats are not delayed.
const TICK_INPUTS: usize = 512;

/// Time for which committed entries are applied before messages are processed again. Several
/// slices fit between two heartbeats.
const APPLY_SLICE: Duration = Duration::from_millis(25);

/// Requests whose outcome the core has not reported yet.
#[derive(Default)]
pub(super) struct PendingRequests {
    last: u64,
    pub(super) submits: BTreeMap<RequestToken, OutcomeSender<Vec<u8>>>,
    pub(super) reads: BTreeMap<RequestToken, OutcomeSender<LogIndex>>,
    pub(super) hand_overs: BTreeMap<RequestToken, OutcomeSender<HandOverOutcome>>,
    pub(super) changes: BTreeMap<RequestToken, OutcomeSender<LogIndex>>,
}

impl PendingRequests {
    fn token(&mut self) -> RequestToken {
        self.last = self.last.wrapping_add(1);
        RequestToken(self.last)
    }
}

/// State that the task of a keeper owns.
pub(super) struct KeeperRuntime {
    pub(super) node: AgreementNode,
    pub(super) machine: Box<dyn StateMachine>,
    pub(super) commit: CommitThread,
    pub(super) hub: PeerHub,
    pub(super) clock: Arc<dyn TimeSource>,
    pub(super) inbox: KeeperInbox,
    pub(super) reports: mpsc::UnboundedReceiver<CommitReport>,
    pub(super) pending: PendingRequests,
    pub(super) status: KeeperStatus,
    /// Effects that wait for committed entries to be applied, in order; see
    /// [`KeeperRuntime::run_backlog`].
    pub(super) backlog: VecDeque<AgreementEffect>,
    /// Answers of the state machine to applied entries of the backlog.
    pub(super) answers: Vec<AppliedResult>,
    /// Replay of the log entries found at the start; `None` once all of them are applied.
    pub(super) replay: Option<LogReplay>,
    /// Inputs for the next tick that the effects of the last tick produced.
    pub(super) follow_up: Vec<AgreementInput>,
    /// Input that confirms the persist request in progress; the core issues one at a time.
    pub(super) syncing: Option<AgreementInput>,
    pub(super) schedule: SnapshotSchedule,
}

/// Event that wakes the task.
enum KeeperEvent {
    Message(AgreementEnvelope),
    Request(KeeperRequest),
    Report(CommitReport),
    Deadline,
}

impl KeeperRuntime {
    /// Runs until a stop request or an error, then answers every pending request.
    pub(super) async fn run(mut self) -> Result<(), KeeperError> {
        let result = self.run_ticks().await;
        let reason: Arc<str> = match &result {
            Ok(()) => Arc::from("planned stop"),
            Err(error) => Arc::from(error.to_string()),
        };
        self.refuse_queued(&reason);
        self.abandon_pending(&reason);
        result
    }

    async fn run_ticks(&mut self) -> Result<(), KeeperError> {
        let mut stopping = false;
        self.tick(Vec::new())?;
        while !(stopping && self.syncing.is_none()) {
            let event = if self.backlog.is_empty() {
                self.wait().await
            } else {
                // Lets the link tasks run between two slices.
                yield_now().await;
                self.try_next().unwrap_or(KeeperEvent::Deadline)
            };
            let mut inputs = Vec::new();
            stopping |= self.convert_event(event, &mut inputs)?;
            while inputs.len() < TICK_INPUTS {
                let Some(next) = self.try_next() else {
                    break;
                };
                stopping |= self.convert_event(next, &mut inputs)?;
            }
            self.tick(inputs)?;
        }
        Ok(())
    }

    async fn wait(&mut self) -> KeeperEvent {
        let time_left = self.node.next_deadline().since(self.clock.now());
        tokio::select! {
            biased;
            Some(report) = self.reports.recv() => KeeperEvent::Report(report),
            Some(message) = self.inbox.messages.recv() => KeeperEvent::Message(message),
            Some(request) = self.inbox.requests.recv() => KeeperEvent::Request(request),
            () = sleep(time_left) => KeeperEvent::Deadline,
        }
    }

    fn try_next(&mut self) -> Option<KeeperEvent> {
        if let Ok(report) = self.reports.try_recv() {
            return Some(KeeperEvent::Report(report));
        }
        if let Ok(message) = self.inbox.messages.try_recv() {
            return Some(KeeperEvent::Message(message));
        }
        self.inbox
            .requests
            .try_recv()
            .ok()
            .map(KeeperEvent::Request)
    }

    /// Converts an event into inputs; returns `true` if the task must stop.
    fn convert_event(
        &mut self,
        event: KeeperEvent,
        inputs: &mut Vec<AgreementInput>,
    ) -> Result<bool, KeeperError> {
        match event {
            KeeperEvent::Message(message) => inputs.push(AgreementInput::Message(message)),
            KeeperEvent::Report(report) => self.process_report(report, inputs)?,
            KeeperEvent::Request(KeeperRequest::Stop) => return Ok(true),
            // The requester gave up before the request ran, so it is dropped.
            KeeperEvent::Request(request) if request.is_abandoned() => {}
            KeeperEvent::Request(request) => {
                if let Some(request) = self.prepare(request) {
                    inputs.push(self.register_request(request)?);
                }
            }
            KeeperEvent::Deadline => {}
        }
        Ok(false)
    }

    fn process_report(
        &mut self,
        report: CommitReport,
        inputs: &mut Vec<AgreementInput>,
    ) -> Result<(), KeeperError> {
        self.status.mark = report.result?;
        self.status.usage = report.usage;
        inputs.extend(self.syncing.take());
        let log_bytes = self.status.usage.log_bytes;
        // Callers wait for the end of the replay, so a snapshot is taken only after it.
        if self.replay.is_none() && self.schedule.is_due(self.status.applied, log_bytes) {
            inputs.push(self.take_snapshot()?);
        }
        Ok(())
    }

    /// Encodes the current state as a snapshot at the last applied entry.
    pub(super) fn take_snapshot(&mut self) -> Result<AgreementInput, KeeperError> {
        let began = self.clock.now();
        let bytes = self.machine.snapshot()?;
        let work = self.clock.now().since(began);
        self.schedule
            .record_taken(self.status.applied, self.status.usage.log_bytes, work);
        log::info!(index:% = self.status.applied, bytes = bytes.len(), work_ms = millis(work);
            "snapshot taken");
        Ok(AgreementInput::SnapshotTaken {
            index: self.status.applied,
            bytes: Arc::from(bytes),
        })
    }

    /// Stamps a command. A command that can't be decoded is refused here, since no keeper could
    /// apply it.
    fn prepare(&self, request: KeeperRequest) -> Option<KeeperRequest> {
        let KeeperRequest::Submit { command, outcome } = request else {
            return Some(request);
        };
        match self
            .machine
            .prepare(self.clock.now(), self.clock.wall(), command)
        {
            Ok(command) => Some(KeeperRequest::Submit { command, outcome }),
            Err(error) => {
                send_failure(outcome, SubmitError::not_run(error));
                None
            }
        }
    }

    fn register_request(&mut self, request: KeeperRequest) -> Result<AgreementInput, KeeperError> {
        let token = self.pending.token();
        Ok(match request {
            KeeperRequest::Submit { command, outcome } => {
                self.pending.submits.insert(token, outcome);
                AgreementInput::Propose { token, command }
            }
            KeeperRequest::Read { outcome } => {
                self.pending.reads.insert(token, outcome);
                AgreementInput::Read { token }
            }
            KeeperRequest::HandOver { target, outcome } => {
                self.pending.hand_overs.insert(token, outcome);
                AgreementInput::HandOver { token, target }
            }
            KeeperRequest::Change { change, outcome } => {
                self.pending.changes.insert(token, outcome);
                AgreementInput::ChangeMembership { token, change }
            }
            KeeperRequest::Stop => {
                return Err(KeeperError::Refused {
                    reason: "a stop request can't be passed to the agreement core".to_owned(),
                });
            }
        })
    }

    /// Ticks the core until its effects produce no further inputs, then publishes the status.
    fn tick(&mut self, inputs: Vec<AgreementInput>) -> Result<(), KeeperError> {
        let mut inputs = inputs;
        loop {
            let work = Arc::clone(self.hub.work());
            work.measure("agreement", || {
                let effects = self.node.tick(self.clock.now(), inputs);
                self.run_effects(effects)
            })?;
            work.measure("apply", || self.run_backlog())?;
            if self.follow_up.is_empty() {
                break;
            }
            inputs = std::mem::take(&mut self.follow_up);
        }
        self.publish();
        Ok(())
    }

    /// Applies committed entries and reports their outcomes, for [`APPLY_SLICE`] per call.
    ///
    /// A restarted keeper applies its whole log once a leader has committed. On small hosts this
    /// took longer than an election: each new leader sent no heartbeats during that time and lost
    /// its leadership, and no host knew its routes. With slices, the core ticks between entries,
    /// and each entry takes a few milliseconds. [`SnapshotSchedule`] limits the number of entries.
    fn run_backlog(&mut self) -> Result<(), KeeperError> {
        let until = self.clock.now().after(APPLY_SLICE);
        while let Some(effect) = self.backlog.pop_front() {
            self.run_queued_effect(effect)?;
            if self.clock.now() >= until {
                break;
            }
        }
        if self.backlog.is_empty() {
            self.answers.clear();
        }
        Ok(())
    }

    fn publish(&mut self) {
        self.status.commit = self.node.commit_index();
        self.status.last = self.node.last_index();
        let status = &self.status;
        self.inbox.status.send_if_modified(|published| {
            let changed = published != status;
            if changed {
                published.clone_from(status);
            }
            changed
        });
    }

    /// Answers queued requests that no tick has processed with "not run".
    fn refuse_queued(&mut self, reason: &str) {
        self.inbox.requests.close();
        let reason = format!("keeper has stopped: {reason}");
        while let Ok(request) = self.inbox.requests.try_recv() {
            let failed = SubmitError::not_run(&reason);
            match request {
                KeeperRequest::Submit { outcome, .. } => send_failure(outcome, failed),
                KeeperRequest::Read { outcome } => send_failure(outcome, failed),
                KeeperRequest::HandOver { outcome, .. } => send_failure(outcome, failed),
                KeeperRequest::Change { outcome, .. } => send_failure(outcome, failed),
                KeeperRequest::Stop => {}
            }
        }
    }

    /// Answers requests that the core accepted: other keepers may still commit commands, so their
    /// outcome is unknown; reads were not answered and are "not run".
    fn abandon_pending(&mut self, reason: &str) {
        let pending = std::mem::take(&mut self.pending);
        let reason = format!("keeper has stopped: {reason}");
        for outcome in pending.submits.into_values() {
            send_failure(outcome, SubmitError::unknown(&reason));
        }
        for outcome in pending.changes.into_values() {
            send_failure(outcome, SubmitError::unknown(&reason));
        }
        for outcome in pending.hand_overs.into_values() {
            send_failure(outcome, SubmitError::unknown(&reason));
        }
        for outcome in pending.reads.into_values() {
            send_failure(outcome, SubmitError::not_run(&reason));
        }
    }
}

fn send_failure<T>(outcome: OutcomeSender<T>, error: SubmitError) {
    // The requester may have given up.
    let _ = outcome.send(LocalOutcome::Failed(error));
}
