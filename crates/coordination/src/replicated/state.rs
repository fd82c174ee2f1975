//! The state machine over all replicated tables.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::clock::{ReplicatedClock, ReplicatedTime};
use super::command::{CommandAnswer, ReplicatedCommand, StampedCommand, decode, encode};
use super::evidence_index::{EvidenceIndex, EvidenceRetention};
use super::incarnations::{IncarnationTable, StartHost};
use super::order_right::OrderRightTable;
use crate::agreement::{LogIndex, StateMachine, StateMachineError};
use crate::base::{HostName, Incarnation};
use crate::claims::{ClaimSettings, ClaimTable};
use crate::configuration::{
    ChangeAnswer, ChangeDecision, ChangeLog, ChangeRetention, Configuration,
};

/// Format of snapshots that are written.
const SNAPSHOT_FORMAT: u16 = 2;
/// Oldest format that is read; a keeper refuses those before it, and after the one that it writes.
const OLDEST_FORMAT: u16 = 1;

/// Bounds of the tables. They are part of the state: the first keeper's are kept through snapshots.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicatedSettings {
    /// Retention of configuration changes.
    pub changes: ChangeRetention,
    /// Bounds and horizon of claims.
    pub claims: ClaimSettings,
    /// Retention of evidence in memory.
    pub evidence: EvidenceRetention,
}

/// All replicated tables; everything here is part of a snapshot.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct ReplicatedTables {
    format: u16,
    applied: LogIndex,
    clock: ReplicatedClock,
    changes: ChangeLog,
    claims: ClaimTable,
    evidence: EvidenceIndex,
    lives: IncarnationTable,
    order_rights: OrderRightTable,
}

/// The replicated state of one keeper.
///
/// Invariant: `configuration` is the layout of `tables.changes` at its revision.
#[derive(Debug, Default)]
pub struct ReplicatedState {
    tables: ReplicatedTables,
    configuration: Arc<Configuration>,
}

impl ReplicatedState {
    /// An empty state.
    pub fn new(settings: ReplicatedSettings) -> Self {
        let tables = ReplicatedTables {
            format: SNAPSHOT_FORMAT,
            changes: ChangeLog::new(settings.changes),
            claims: ClaimTable::new(settings.claims),
            evidence: EvidenceIndex::new(settings.evidence),
            ..ReplicatedTables::default()
        };
        Self {
            tables,
            configuration: Arc::default(),
        }
    }

    /// The configuration in force at this keeper's last applied entry.
    pub fn configuration(&self) -> Arc<Configuration> {
        self.configuration.clone()
    }

    /// Accepted changes and answers to change ids.
    pub fn changes(&self) -> &ChangeLog {
        &self.tables.changes
    }

    /// Claims.
    pub fn claims(&self) -> &ClaimTable {
        &self.tables.claims
    }

    /// Latest evidence.
    pub fn evidence(&self) -> &EvidenceIndex {
        &self.tables.evidence
    }

    /// Incarnations of hosts.
    pub fn incarnations(&self) -> &IncarnationTable {
        &self.tables.lives
    }

    /// Rights to give orders.
    pub fn order_rights(&self) -> &OrderRightTable {
        &self.tables.order_rights
    }

    /// The agreed time.
    pub fn now(&self) -> ReplicatedTime {
        self.tables.clock.now()
    }

    /// Last applied entry.
    pub fn applied(&self) -> LogIndex {
        self.tables.applied
    }

    /// Applies a command that is already decoded.
    pub fn apply_command(&mut self, index: LogIndex, stamped: &StampedCommand) -> CommandAnswer {
        let now = self.tables.clock.observe(&stamped.stamp);
        self.tables.applied = index;
        let tables = &mut self.tables;
        match &stamped.command {
            ReplicatedCommand::ChangeConfiguration(request) => {
                let wall = stamped.stamp.wall;
                let decision = tables.changes.decide_and_build(request, wall, now);
                CommandAnswer::Change(self.put_in_force(decision))
            }
            ReplicatedCommand::EditConfiguration(request) => {
                let decision = tables.changes.decide_edit(request, stamped.stamp.wall, now);
                CommandAnswer::Change(self.put_in_force(decision))
            }
            ReplicatedCommand::TakeClaim(take) => {
                CommandAnswer::Taken(tables.claims.take(take, now))
            }
            ReplicatedCommand::SettleClaim(settle) => {
                CommandAnswer::Settled(tables.claims.settle(settle, now))
            }
            ReplicatedCommand::RecordEvidence(batch) => {
                CommandAnswer::Evidence(tables.evidence.record(batch, now))
            }
            ReplicatedCommand::GrantOrderRight(request) => {
                CommandAnswer::OrderRight(tables.order_rights.grant(request, now))
            }
            ReplicatedCommand::StartHost(start) => CommandAnswer::Started(self.start(start, now)),
            ReplicatedCommand::EndHost { host, incarnation } => self.end(host, *incarnation, now),
            ReplicatedCommand::Tick => {
                tables.claims.expire(now);
                CommandAnswer::Ticked
            }
        }
    }

    fn put_in_force(&mut self, decision: ChangeDecision) -> ChangeAnswer {
        if let Some(configuration) = decision.configuration {
            self.configuration = configuration;
        }
        decision.answer
    }

    /// A new life of a host ends its earlier ones: what they held is unknown.
    fn start(&mut self, start: &StartHost, now: ReplicatedTime) -> Incarnation {
        let incarnation = self.tables.lives.start(start);
        let ended = Incarnation(incarnation.0.saturating_sub(1));
        self.tables.claims.end_incarnation(&start.host, ended, now);
        incarnation
    }

    fn end(
        &mut self,
        host: &HostName,
        incarnation: Incarnation,
        now: ReplicatedTime,
    ) -> CommandAnswer {
        let claims = self.tables.claims.end_incarnation(host, incarnation, now);
        let claims = u64::try_from(claims).unwrap_or(u64::MAX);
        CommandAnswer::Ended { claims }
    }
}

impl StateMachine for ReplicatedState {
    fn apply(&mut self, index: LogIndex, command: &[u8]) -> Result<Vec<u8>, StateMachineError> {
        let stamped: StampedCommand = decode("command", command)?;
        let answer = self.apply_command(index, &stamped);
        encode("answer", &answer)
    }

    fn snapshot(&self) -> Result<Vec<u8>, StateMachineError> {
        encode("snapshot", &self.tables)
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<(), StateMachineError> {
        let mut tables: ReplicatedTables = decode("snapshot", snapshot)?;
        if !(OLDEST_FORMAT..=SNAPSHOT_FORMAT).contains(&tables.format) {
            let known = format!("{OLDEST_FORMAT} to {SNAPSHOT_FORMAT}");
            let reason = format!("format {}, not {known}", tables.format);
            let what = "snapshot";
            return Err(StateMachineError { what, reason });
        }
        tables.format = SNAPSHOT_FORMAT;
        let configuration = tables
            .changes
            .build()
            .map_err(|findings| StateMachineError {
                what: "snapshot",
                reason: findings.to_string(),
            })?;
        self.tables = tables;
        self.configuration = configuration;
        Ok(())
    }
}
