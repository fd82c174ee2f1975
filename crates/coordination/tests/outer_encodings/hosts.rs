//! Messages between hosts: leases, addresses, loads and streams.

use std::time::Duration;

use pollendrift_coordination::base::{AttemptNumber, Incarnation, ReceiptNumber, TokenPosition};
use pollendrift_coordination::hosts::{HostGossip, HostReach};
use pollendrift_coordination::leases::{
    AnnouncedLoad, AnnouncementDigest, BackendLayers, BackendOffer, DeltaCursor, FullLease,
    LeaseBatch, LeaseDelta, LeaseNumber, LeaseRenewal, NamedLease, NumberedRenewal, PackedRenewals,
    ServerAnnounce, ServerState,
};
use pollendrift_coordination::ledger::GeneratedToken;
use pollendrift_coordination::revision_follower::QuestionNumber;
use pollendrift_coordination::routing::{EngineLoad, SurveyResult};
use pollendrift_coordination::streams::{StreamRecord, StreamUpdate};

use crate::encoded_text::{cbor, json};
use crate::samples::layers;

const LOAD: AnnouncedLoad = AnnouncedLoad {
    running: 2,
    queued: 3,
    prefill_tokens: 400,
    kv_used_tokens: 5_000,
};

pub(crate) fn offer() -> BackendOffer {
    BackendOffer {
        service: "drafts".into(),
        slots: 4,
        cold: true,
        kind: "big".to_owned(),
        layers: Some(BackendLayers {
            range: layers(0, 8),
            version: "v1".into(),
        }),
    }
}

pub(crate) fn announce(state: ServerState) -> ServerAnnounce {
    ServerAnnounce {
        server: "b1".into(),
        incarnation: Incarnation(6),
        sequence: 17.into(),
        address: "127.0.0.1:9000".into(),
        data_centre: "north".into(),
        state,
        checks_fencing: true,
        offer: json(&offer()).into(),
        load: LOAD,
    }
}

fn full(state: ServerState) -> LeaseDelta {
    LeaseDelta::Full(FullLease {
        announce: announce(state),
        age: Duration::from_millis(1_250),
    })
}

fn renewal(load: Option<AnnouncedLoad>) -> LeaseDelta {
    LeaseDelta::Renewal(LeaseRenewal {
        server: "b1".into(),
        incarnation: Incarnation(6),
        sequence: 18.into(),
        digest: AnnouncementDigest::of(&announce(ServerState::Serving)),
        age: Duration::from_millis(30),
        load,
    })
}

fn batch() -> LeaseBatch {
    let renewals = [(3, 0), (200, 1_250)].map(|(number, millis)| NumberedRenewal {
        number: LeaseNumber(number),
        age: Duration::from_millis(millis),
    });
    let deltas = [
        full(ServerState::Serving),
        full(ServerState::Leaving),
        renewal(Some(LOAD)),
        renewal(None),
    ];
    let named = |(number, delta)| NamedLease {
        number: LeaseNumber(number),
        delta,
    };
    LeaseBatch {
        table: Incarnation(5),
        named: (1..).zip(deltas).map(named).collect(),
        renewals: PackedRenewals::pack(renewals.into()),
        receipt: None,
    }
}

// Guards against a renamed field: hosts of two builds would lose each other's backend servers.
#[test]
fn lease_updates_keep_their_encoding() {
    let cursor = DeltaCursor {
        complete: 41,
        reached: 42,
    };
    let confirmed = LeaseBatch {
        table: Incarnation(5),
        named: Vec::new(),
        renewals: PackedRenewals::default(),
        receipt: Some(ReceiptNumber(9)),
    };
    insta::assert_snapshot!([cbor(&batch()), cbor(&cursor), cbor(&confirmed)].join("\n"));
}

// Guards against a changed digest: each renewal from another build would count as one of unknown
// content.
#[test]
fn backend_offers_keep_their_text() {
    let digests = [ServerState::Serving, ServerState::Leaving]
        .map(|state| json(&AnnouncementDigest::of(&announce(state))));
    insta::assert_snapshot!([json(&offer()), digests.join(" ")].join("\n"));
}

// Guards against a renamed field: hosts of two builds could not discover each other.
#[test]
fn gossip_keeps_its_encoding() {
    let gossip = HostGossip {
        host: "h1".into(),
        reach: HostReach {
            address: ([127, 0, 0, 1], 7_000).into(),
            keeper: true,
            data_centre: Some("north".into()),
            heartbeats: Some(([127, 0, 0, 1], 7_001).into()),
        },
        age: Duration::from_millis(900),
    };
    insta::assert_snapshot!([cbor(&gossip), json(&gossip)].join("\n"));
}

// Guards against a renamed field: hosts of two builds would route by their own load only.
#[test]
fn survey_results_keep_their_encoding() {
    let result = SurveyResult {
        server: "b1".into(),
        incarnation: Incarnation(6),
        load: Some(EngineLoad {
            running: 2,
            waiting: 3,
            kv_tokens: 5_000,
            slowness: 7,
        }),
        age: Duration::from_millis(900),
    };
    insta::assert_snapshot!([cbor(&result), cbor(&QuestionNumber(8))].join("\n"));
}

fn tokens() -> Vec<GeneratedToken> {
    vec![GeneratedToken {
        id: 31,
        text: "clause".into(),
    }]
}

// Guards against a renamed field: a stream that is interrupted during an upgrade could not be
// resumed.
#[test]
fn streams_keep_their_encoding() {
    let update = StreamUpdate {
        request: "r1".into(),
        customer: "ponant".into(),
        digest: [0x77; 32],
        version: "v1".into(),
        model_layers: 8,
        attempt: AttemptNumber(2),
        first: TokenPosition(5),
        tokens: tokens(),
        finish: Some("stop".to_owned()),
        replaces: false,
        receipt: None,
    };
    let record = StreamRecord {
        customer: "ponant".into(),
        digest: [0x77; 32],
        version: "v1".into(),
        model_layers: 8,
        attempt: AttemptNumber(2),
        tokens: tokens(),
        finish: Some("stop".to_owned()),
    };
    insta::assert_snapshot!([cbor(&update), cbor(&record)].join("\n"));
}
