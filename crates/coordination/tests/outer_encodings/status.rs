//! Types of this crate that dumps and the status contain.

use std::time::Duration;

use pollendrift_coordination::agreement::{
    AgreementDump, KeeperRole, LeadershipDump, LogIndex, MessageDropReason, PeerDump,
    RedundancyGap, RedundancyReport, RoleStatus, Term,
};
use pollendrift_coordination::base::{Incarnation, MonotonicTime};
use pollendrift_coordination::evidence::{BufferStatus, ChainHead, ChainWriter, EvidenceDigest};
use pollendrift_coordination::leases::{BackendLeaseSettings, LeaseTable, ServerState};
use pollendrift_coordination::routing::{
    ByteRate, EngineAnnouncement, EngineDump, EngineRole, LoadValues, PolicyKind, RoutingDump,
    RoutingSettings, TokenCount, TokenRate,
};

use crate::encoded_text::{json, write_json};
use crate::hosts::announce;
use crate::samples::{keeper, layers, membership};

const ROLES: [KeeperRole; 6] = [
    KeeperRole::Outsider,
    KeeperRole::Learner,
    KeeperRole::Follower,
    KeeperRole::Candidate,
    KeeperRole::Leader,
    KeeperRole::Retired,
];

fn redundancy() -> RedundancyReport {
    RedundancyReport {
        current_voters: 2,
        voters: 3,
        losses_tolerated: 1,
        gaps: vec![
            RedundancyGap::Silent(keeper("k1", 11)),
            RedundancyGap::Behind(keeper("k2", 12)),
            RedundancyGap::Learning(keeper("k3", 13)),
            RedundancyGap::Replaced(keeper("k4", 14)),
            RedundancyGap::TooFewVoters,
        ],
    }
}

fn leadership() -> LeadershipDump {
    LeadershipDump {
        leads_until: MonotonicTime::from_millis(60),
        pending_proposals: 7,
        pending_reads: 8,
        redundancy: redundancy(),
        peers: vec![PeerDump {
            keeper: keeper("k2", 12),
            matched: LogIndex(41),
            next: LogIndex(42),
            inflight: 1,
            receives_snapshot: true,
            contact_at: MonotonicTime::from_millis(50),
        }],
    }
}

fn agreement() -> AgreementDump {
    AgreementDump {
        keeper: keeper("k1", 11),
        status: RoleStatus {
            role: KeeperRole::Leader,
            term: Term(4),
            leader: Some(keeper("k1", 11)),
        },
        membership: membership(),
        membership_index: LogIndex(31),
        snapshot_index: LogIndex(32),
        base_index: LogIndex(33),
        delivered_index: LogIndex(34),
        commit_index: LogIndex(35),
        durable_index: LogIndex(36),
        last_index: LogIndex(37),
        held_actions: 5,
        leadership: Some(leadership()),
    }
}

// Guards against a renamed field: operators' checks of the keepers would fail. Roles are also shown by
// the name of their variant, in lower case.
#[test]
fn dumps_of_keepers_keep_their_names() {
    let mut lines = vec![json(&agreement())];
    for role in ROLES {
        let variant = format!("{role:?}").to_lowercase();
        lines.push(format!("{} {role} {variant}", json(&role)));
    }
    for gap in redundancy().gaps {
        lines.push(gap.to_string());
    }
    insta::assert_snapshot!(lines.join("\n"));
}

// Guards against a renamed variant: operators count dropped messages by these reasons.
#[test]
fn reasons_of_dropped_messages_keep_their_names() {
    let reasons = [
        MessageDropReason::OtherReceiver,
        MessageDropReason::OwnIdentity,
        MessageDropReason::FormerIncarnation,
        MessageDropReason::OldDisk,
        MessageDropReason::Malformed,
        MessageDropReason::Retired,
    ];
    let lines = reasons.map(|reason| format!("{} {reason}", json(&reason)));
    insta::assert_snapshot!(lines.join("\n"));
}

// Guards against a renamed field: operators' checks of the evidence buffer would fail.
#[test]
fn the_status_of_evidence_keeps_its_names() {
    let status = BufferStatus {
        head: ChainHead {
            writer: ChainWriter {
                host: "h1".into(),
                incarnation: Incarnation(7),
            },
            sequence: 9.into(),
            digest: EvidenceDigest::new([0x11; 32]),
        },
        durable: 6.into(),
        records: 3,
        bytes: 400,
        reserved: 2,
        may_accept: true,
    };
    insta::assert_snapshot!(write_json(&status));
}

// Guards against a renamed field: operators' checks of backend servers would fail.
#[test]
fn the_dump_of_leases_keeps_its_names() {
    let mut table = LeaseTable::with_incarnation(
        BackendLeaseSettings {
            lease: Duration::from_secs(3),
            retention: Duration::from_secs(60),
            max_servers: 9,
        },
        Incarnation(5),
    );
    table.merge(
        MonotonicTime::from_millis(1_000),
        announce(ServerState::Serving),
    );
    let leases: Vec<_> = table.iter().cloned().collect();
    insta::assert_snapshot!(write_json(&leases));
}

fn engine(role: EngineRole) -> EngineDump {
    EngineDump {
        announcement: EngineAnnouncement {
            server: "b1".into(),
            incarnation: Incarnation(6),
            sequence: 17.into(),
            kind: "big".into(),
            data_centre: "north".into(),
            model: "m".into(),
            version: "v1".into(),
            model_layers: 8,
            layers: layers(0, 4),
            adapters: vec!["legal".into()],
            role,
            kv_capacity: TokenCount(5_000),
            prefill_rate: TokenRate(600),
            decode_rate: TokenRate(70),
            step_floor: Duration::from_millis(8),
            link_rate: ByteRate(9_000),
            activation_bytes: 10,
            kv_bytes: 11,
        },
        load: LoadValues {
            prefill: TokenCount(400),
            sequences: 2,
            kv: TokenCount(500),
        },
        own_sequences: 3,
        ejected: true,
    }
}

// Guards against a renamed field or variant: operators' checks of routing would fail.
#[test]
fn the_dump_of_routing_keeps_its_names() {
    let dump = RoutingDump {
        settings: RoutingSettings::default(),
        engines: [EngineRole::Both, EngineRole::Prefill, EngineRole::Decode]
            .map(engine)
            .into(),
        flights: 4,
    };
    let policies = [
        PolicyKind::FlowWeighted,
        PolicyKind::LeastOutstanding,
        PolicyKind::PowerOfTwo,
        PolicyKind::PredictedFinish,
        PolicyKind::RoundRobin,
    ];
    let mut lines = vec![write_json(&dump)];
    lines.extend(policies.map(|policy| format!("{} {policy}", json(&policy))));
    insta::assert_snapshot!(lines.join("\n"));
}
