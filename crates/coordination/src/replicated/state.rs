//! State machine over all replicated tables.

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

/// Format version of written snapshots.
const SNAPSHOT_FORMAT: u16 = 2;
/// Oldest readable format; a keeper refuses older formats, and newer ones than it writes.
const OLDEST_FORMAT: u16 = 1;

/// Limits of the tables. They are part of the state: snapshots keep the first keeper's values.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicatedSettings {
    /// Retention of configuration changes.
    pub changes: ChangeRetention,
    /// Limits and retention of claims.
    pub claims: ClaimSettings,
    /// Retention of evidence in memory.
    pub evidence: EvidenceRetention,
}

/// All replicated tables; a snapshot contains every field.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct ReplicatedTables {
    format: u16,
    applied: LogIndex,
    clock: ReplicatedClock,
    changes: ChangeLog,
    claims: ClaimTable,
    evidence: EvidenceIndex,
    #[serde(rename = "lives")]
    incarnations: IncarnationTable,
    order_rights: OrderRightTable,
}

/// The replicated state of one keeper.
///
/// Invariant: `configuration` is the configuration that `tables.changes` builds at its revision.
#[derive(Debug, Default)]
pub struct ReplicatedState {
    tables: ReplicatedTables,
    configuration: Arc<Configuration>,
}

impl ReplicatedState {
    /// Creates a state without content whose tables have the limits of `settings`.
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

    /// The configuration in force after this keeper's last applied entry.
    pub fn configuration(&self) -> Arc<Configuration> {
        self.configuration.clone()
    }

    /// Accepted changes and answers by change id.
    pub fn changes(&self) -> &ChangeLog {
        &self.tables.changes
    }

    /// Claims of non-idempotent calls.
    pub fn claims(&self) -> &ClaimTable {
        &self.tables.claims
    }

    /// Latest evidence records.
    pub fn evidence(&self) -> &EvidenceIndex {
        &self.tables.evidence
    }

    /// Current incarnations of hosts.
    pub fn incarnations(&self) -> &IncarnationTable {
        &self.tables.incarnations
    }

    /// Rights to give orders to backend servers.
    pub fn order_rights(&self) -> &OrderRightTable {
        &self.tables.order_rights
    }

    /// Current replicated time.
    pub fn now(&self) -> ReplicatedTime {
        self.tables.clock.now()
    }

    /// Index of the last applied entry.
    pub fn applied(&self) -> LogIndex {
        self.tables.applied
    }

    /// Applies a decoded command and returns its answer.
    pub fn apply_command(&mut self, index: LogIndex, stamped: &StampedCommand) -> CommandAnswer {
        let now = self.tables.clock.observe(&stamped.stamp);
        self.tables.applied = index;
        let tables = &mut self.tables;
        match &stamped.command {
            ReplicatedCommand::ChangeConfiguration(request) => {
                let wall = stamped.stamp.wall;
                let decision = tables.changes.decide_and_build(request, wall, now);
                CommandAnswer::Change(self.apply_decision(decision))
            }
            ReplicatedCommand::EditConfiguration(request) => {
                let decision = tables.changes.decide_edit(request, stamped.stamp.wall, now);
                CommandAnswer::Change(self.apply_decision(decision))
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

    fn apply_decision(&mut self, decision: ChangeDecision) -> ChangeAnswer {
        if let Some(configuration) = decision.configuration {
            self.configuration = configuration;
        }
        decision.answer
    }

    /// Starts a host's process; claims that its former incarnations have in progress become
    /// unknown.
    fn start(&mut self, start: &StartHost, now: ReplicatedTime) -> Incarnation {
        let incarnation = self.tables.incarnations.start(start);
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
            let reason = format!("found format {}, expected {known}", tables.format);
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
