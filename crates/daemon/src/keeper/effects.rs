//! Executes the effects of the agreement core in order.

use std::sync::Arc;
use std::time::Duration;

use pollendrift_coordination::agreement::{
    AgreementEffect, AgreementEnvelope, AgreementInput, EntryPayload, HandOverOutcome, LogEntry,
    LogIndex, PersistRequest, ProposalOutcome, ReadOutcome, RefusalReason, RequestToken,
    StateMachineError, StoredSnapshot,
};
use pollendrift_store::CommitRequest;

use super::error::{KeeperError, SubmitError};
use super::port::{LocalOutcome, OutcomeSender};
use super::runtime::KeeperRuntime;
use crate::clock::millis;
use crate::peers::{PeerFrame, encode_agreement};

/// Answer of the state machine to the entry at `index`.
pub(super) struct AppliedResult {
    index: LogIndex,
    answer: Result<Vec<u8>, StateMachineError>,
}

impl KeeperRuntime {
    /// Executes effects that don't depend on committed entries at once; appends the others to the
    /// backlog in order.
    pub(super) fn run_effects(&mut self, effects: Vec<AgreementEffect>) -> Result<(), KeeperError> {
        for effect in effects {
            match effect {
                AgreementEffect::Send(envelope) => self.send(&envelope),
                AgreementEffect::Persist(order) => self.persist(order)?,
                AgreementEffect::RoleChanged(status) => {
                    log::info!(role:% = status.role, term:% = status.term; "keeper's role changed");
                    self.status.role = status.role;
                    self.status.term = status.term;
                    self.status.leader = status.leader;
                    self.status.redundancy = None;
                }
                AgreementEffect::MembershipChanged { membership, .. } => {
                    self.status.membership = Arc::new(membership);
                }
                AgreementEffect::RedundancyChanged(report) => {
                    self.status.redundancy = Some(Arc::new(report));
                }
                AgreementEffect::IdentityLost { index, .. } => {
                    return Err(KeeperError::OldDisk { index });
                }
                AgreementEffect::MessageDropped { from, reason } => {
                    log::debug!(keeper:% = from, reason:% = reason; "agreement message dropped");
                }
                AgreementEffect::Committed(entries) => {
                    let single_entries = entries.into_iter().map(|entry| vec![entry]);
                    self.backlog
                        .extend(single_entries.map(AgreementEffect::Committed));
                }
                dependent => self.backlog.push_back(dependent),
            }
        }
        Ok(())
    }

    /// Executes an effect of the backlog, after all entries before it are applied.
    pub(super) fn run_queued_effect(&mut self, effect: AgreementEffect) -> Result<(), KeeperError> {
        match effect {
            AgreementEffect::Committed(entries) => self.apply(entries),
            AgreementEffect::InstallSnapshot(snapshot) => self.install(&snapshot)?,
            AgreementEffect::Proposal { token, outcome } => self.settle_submit(token, outcome),
            AgreementEffect::Read { token, outcome } => self.settle_read(token, outcome),
            AgreementEffect::HandOver { token, outcome } => self.settle_hand_over(token, outcome),
            AgreementEffect::MembershipChange { token, outcome } => {
                self.settle_change(token, outcome);
            }
            AgreementEffect::SnapshotRequested { .. } => {
                let snapshot = self.take_snapshot()?;
                self.follow_up.push(snapshot);
            }
            immediate => self.run_effects(vec![immediate])?,
        }
        Ok(())
    }

    /// Sends a message. A message that can't be sent is lost, as on the network; the core repeats
    /// messages that matter.
    fn send(&self, envelope: &AgreementEnvelope) {
        match encode_agreement(envelope) {
            Ok(bytes) => {
                let frame = PeerFrame::Agreement(bytes);
                if let Err(refusal) =
                    self.hub
                        .send_as(envelope.message.kind(), &envelope.to.host, &frame)
                {
                    log::trace!(peer:% = envelope.to, refusal:% = refusal; "message not sent");
                }
            }
            Err(error) => log::error!(error:% = error; "agreement message can't be encoded"),
        }
    }

    fn persist(&mut self, order: PersistRequest) -> Result<(), KeeperError> {
        self.syncing = Some(AgreementInput::Persisted(order.sequence));
        let queued = self.commit.submit(CommitRequest::Agreement(order));
        queued.map(drop).map_err(|refusal| KeeperError::Refused {
            reason: refusal.to_string(),
        })
    }

    fn apply(&mut self, entries: Vec<LogEntry>) {
        for entry in entries {
            let start = self.clock.now();
            self.status.applied = entry.index;
            if let EntryPayload::Command(command) = &entry.payload {
                let answer = self.machine.apply(entry.index, command);
                self.answers.push(AppliedResult {
                    index: entry.index,
                    answer,
                });
            }
            let work = self.clock.now().since(start);
            self.schedule.record_work(work);
            self.record_replay(entry.index, work);
        }
    }

    fn record_replay(&mut self, index: LogIndex, work: Duration) {
        let Some(replay) = &mut self.replay else {
            return;
        };
        let Some(report) = replay.record_entry(index, work) else {
            return;
        };
        log::info!(entries = report.entries, work_ms = millis(report.work); "log replayed");
        self.status.replay = Some(report);
        self.replay = None;
    }

    fn install(&mut self, snapshot: &StoredSnapshot) -> Result<(), KeeperError> {
        self.machine.restore(&snapshot.bytes)?;
        self.status.applied = snapshot.mark.index;
        self.schedule
            .record_installed(snapshot.mark.index, self.status.usage.log_bytes);
        Ok(())
    }

    fn settle_submit(&mut self, token: RequestToken, outcome: ProposalOutcome) {
        let Some(sender) = self.pending.submits.remove(&token) else {
            return;
        };
        let outcome = match outcome {
            ProposalOutcome::Committed(index) => answer_at(index, &mut self.answers),
            ProposalOutcome::NotAppended(reason) => refused(reason),
            ProposalOutcome::Unknown => LocalOutcome::Failed(lost_leadership()),
        };
        send_outcome(sender, outcome);
    }

    fn settle_read(&mut self, token: RequestToken, outcome: ReadOutcome) {
        if let Some(sender) = self.pending.reads.remove(&token) {
            let outcome = match outcome {
                ReadOutcome::Ready(index) => LocalOutcome::Done(index),
                ReadOutcome::Refused(reason) => refused(reason),
            };
            send_outcome(sender, outcome);
        }
    }

    fn settle_hand_over(&mut self, token: RequestToken, outcome: HandOverOutcome) {
        if let Some(sender) = self.pending.hand_overs.remove(&token) {
            send_outcome(sender, LocalOutcome::Done(outcome));
        }
    }

    fn settle_change(&mut self, token: RequestToken, outcome: ProposalOutcome) {
        if let Some(sender) = self.pending.changes.remove(&token) {
            let outcome = match outcome {
                ProposalOutcome::Committed(index) => LocalOutcome::Done(index),
                ProposalOutcome::NotAppended(reason) => refused(reason),
                ProposalOutcome::Unknown => LocalOutcome::Failed(lost_leadership()),
            };
            send_outcome(sender, outcome);
        }
    }
}

fn lost_leadership() -> SubmitError {
    SubmitError::unknown("leadership ended before the command was committed")
}

/// Removes and returns the answer to the log entry at `index`. A command that the state machine
/// can't decode changes nothing on any keeper, so its outcome is "not run".
fn answer_at(index: LogIndex, answers: &mut Vec<AppliedResult>) -> LocalOutcome<Vec<u8>> {
    let position = answers.iter().position(|applied| applied.index == index);
    match position.map(|position| answers.swap_remove(position).answer) {
        Some(Ok(answer)) => LocalOutcome::Done(answer),
        Some(Err(error)) => LocalOutcome::Failed(SubmitError::not_run(error)),
        None => LocalOutcome::Failed(SubmitError::unknown("answer of the command is not known")),
    }
}

fn refused<T>(reason: RefusalReason) -> LocalOutcome<T> {
    match reason {
        RefusalReason::NotLeader { leader } => LocalOutcome::NotLeader(leader),
        // A new leader is elected soon, so the requester may send the request again.
        RefusalReason::HandingOver => LocalOutcome::NotLeader(None),
        reason => LocalOutcome::Failed(SubmitError::not_run(reason)),
    }
}

fn send_outcome<T>(sender: OutcomeSender<T>, outcome: LocalOutcome<T>) {
    // The requester may have given up.
    let _ = sender.send(outcome);
}
