//! The task of a keeper: gathers what happened, ticks the core and does what it says.

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

/// Messages and requests that one tick takes at most, so that heartbeats are never far off.
const TICK_INPUTS: usize = 512;

/// Time after which applying committed entries makes way for messages: a few of these fit between two
/// heartbeats.
const APPLY_SLICE: Duration = Duration::from_millis(25);

/// Requests whose outcome the core has not told yet.
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

/// Everything that a keeper's task owns.
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
    /// What follows from committed entries, in its order; see [`KeeperRuntime::work_on`].
    pub(super) backlog: VecDeque<AgreementEffect>,
    /// Answers to entries of the backlog.
    pub(super) answers: Vec<AppliedResult>,
    /// Entries of the start that are not applied yet; `None` once all are.
    pub(super) replay: Option<LogReplay>,
    /// Inputs that effects of the last tick led to.
    pub(super) follow_up: Vec<AgreementInput>,
    /// The order that is being synced; the core gives out one at a time.
    pub(super) syncing: Option<AgreementInput>,
    pub(super) schedule: SnapshotSchedule,
}

/// What woke the task.
enum WakeUp {
    Message(AgreementEnvelope),
    Request(KeeperRequest),
    Report(CommitReport),
    Deadline,
}

impl KeeperRuntime {
    /// Runs until it is stopped or can't go on; every open request is answered.
    pub(super) async fn run(mut self) -> Result<(), KeeperError> {
        let result = self.run_ticks().await;
        let reason: Arc<str> = match &result {
            Ok(()) => Arc::from("planned stop"),
            Err(error) => Arc::from(error.to_string()),
        };
        self.refuse_waiting(&reason);
        self.abandon_open(&reason);
        result
    }

    async fn run_ticks(&mut self) -> Result<(), KeeperError> {
        let mut stopping = false;
        self.tick(Vec::new())?;
        while !(stopping && self.syncing.is_none()) {
            let wake_up = if self.backlog.is_empty() {
                self.wait().await
            } else {
                // Links and their messages have their turn between two slices.
                yield_now().await;
                self.try_next().unwrap_or(WakeUp::Deadline)
            };
            let mut inputs = Vec::new();
            stopping |= self.take(wake_up, &mut inputs)?;
            while inputs.len() < TICK_INPUTS {
                let Some(next) = self.try_next() else {
                    break;
                };
                stopping |= self.take(next, &mut inputs)?;
            }
            self.tick(inputs)?;
        }
        Ok(())
    }

    async fn wait(&mut self) -> WakeUp {
        let pause = self.node.next_deadline().since(self.clock.now());
        tokio::select! {
            biased;
            Some(report) = self.reports.recv() => WakeUp::Report(report),
            Some(message) = self.inbox.messages.recv() => WakeUp::Message(message),
            Some(request) = self.inbox.requests.recv() => WakeUp::Request(request),
            () = sleep(pause) => WakeUp::Deadline,
        }
    }

    fn try_next(&mut self) -> Option<WakeUp> {
        if let Ok(report) = self.reports.try_recv() {
            return Some(WakeUp::Report(report));
        }
        if let Ok(message) = self.inbox.messages.try_recv() {
            return Some(WakeUp::Message(message));
        }
        self.inbox.requests.try_recv().ok().map(WakeUp::Request)
    }

    /// Turns what happened into inputs; `true` where the task is to stop.
    fn take(
        &mut self,
        wake_up: WakeUp,
        inputs: &mut Vec<AgreementInput>,
    ) -> Result<bool, KeeperError> {
        match wake_up {
            WakeUp::Message(message) => inputs.push(AgreementInput::Message(message)),
            WakeUp::Report(report) => self.take_report(report, inputs)?,
            WakeUp::Request(KeeperRequest::Stop) => return Ok(true),
            // Nobody waits for it any more, and nothing of it has run: so it stays.
            WakeUp::Request(request) if request.is_abandoned() => {}
            WakeUp::Request(request) => {
                if let Some(request) = self.prepare(request) {
                    inputs.push(self.open_request(request)?);
                }
            }
            WakeUp::Deadline => {}
        }
        Ok(false)
    }

    fn take_report(
        &mut self,
        report: CommitReport,
        inputs: &mut Vec<AgreementInput>,
    ) -> Result<(), KeeperError> {
        self.status.mark = report.result?;
        self.status.usage = report.usage;
        inputs.extend(self.syncing.take());
        let log_bytes = self.status.usage.log_bytes;
        // Callers wait for the end of a replay: a snapshot comes after it.
        if self.replay.is_none() && self.schedule.is_due(self.status.applied, log_bytes) {
            inputs.push(self.take_snapshot()?);
        }
        Ok(())
    }

    /// Encodes the state as it is now.
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

    /// Stamps a command; one that can't be read is answered here, since no keeper could apply it.
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
                settle(outcome, SubmitError::not_run(error));
                None
            }
        }
    }

    fn open_request(&mut self, request: KeeperRequest) -> Result<AgreementInput, KeeperError> {
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
                    reason: "stop is no request to the core".to_owned(),
                });
            }
        })
    }

    /// Ticks until nothing follows from the effects.
    fn tick(&mut self, inputs: Vec<AgreementInput>) -> Result<(), KeeperError> {
        let mut inputs = inputs;
        loop {
            let effects = self.node.tick(self.clock.now(), inputs);
            self.run_effects(effects)?;
            self.work_on()?;
            if self.follow_up.is_empty() {
                break;
            }
            inputs = std::mem::take(&mut self.follow_up);
        }
        self.publish();
        Ok(())
    }

    /// Applies committed entries and tells their outcomes, for [`APPLY_SLICE`] at a time.
    ///
    /// Failure: a keeper that starts again applies its whole log once a leader has committed. Symptom:
    /// on small hosts that took longer than an election, a new leader sent no heartbeat meanwhile and
    /// stepped down, one after the other, and no host knew its routes. In slices, the core ticks on
    /// between the entries, and each entry takes a few milliseconds; [`SnapshotSchedule`] bounds how
    /// many there are.
    fn work_on(&mut self) -> Result<(), KeeperError> {
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
        self.inbox.status.send_if_modified(|shown| {
            let changed = shown != status;
            if changed {
                shown.clone_from(status);
            }
            changed
        });
    }

    /// Requests that no tick has seen were not run.
    fn refuse_waiting(&mut self, reason: &str) {
        self.inbox.requests.close();
        let reason = format!("keeper has stopped: {reason}");
        while let Ok(request) = self.inbox.requests.try_recv() {
            let failed = SubmitError::not_run(&reason);
            match request {
                KeeperRequest::Submit { outcome, .. } => settle(outcome, failed),
                KeeperRequest::Read { outcome } => settle(outcome, failed),
                KeeperRequest::HandOver { outcome, .. } => settle(outcome, failed),
                KeeperRequest::Change { outcome, .. } => settle(outcome, failed),
                KeeperRequest::Stop => {}
            }
        }
    }

    /// Requests that the core took may yet be committed by the others; reads were not answered.
    fn abandon_open(&mut self, reason: &str) {
        let open = std::mem::take(&mut self.pending);
        let reason = format!("keeper has stopped: {reason}");
        for outcome in open.submits.into_values() {
            settle(outcome, SubmitError::unknown(&reason));
        }
        for outcome in open.changes.into_values() {
            settle(outcome, SubmitError::unknown(&reason));
        }
        for outcome in open.hand_overs.into_values() {
            settle(outcome, SubmitError::unknown(&reason));
        }
        for outcome in open.reads.into_values() {
            settle(outcome, SubmitError::not_run(&reason));
        }
    }
}

fn settle<T>(outcome: OutcomeSender<T>, error: SubmitError) {
    // The asker may have given up in the meantime.
    let _ = outcome.send(LocalOutcome::Failed(error));
}
