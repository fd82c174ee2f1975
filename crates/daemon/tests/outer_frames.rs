//! Byte-exact snapshots of the frames between daemons.

#![allow(clippy::expect_used, reason = "a helper that fails is a failed test")]

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::time::Duration;

use pollendrift::access::{HOST_DOMAIN, OPERATOR_DOMAIN};
use pollendrift::operators::{KeeperAnswer, KeeperQuestion};
use pollendrift::peers::{
    CallNumber, ConfigurationContent, ConfigurationFrame, FrameBytes, HeartbeatNumber,
    HelloRefusal, KeeperIntroduction, PEER_PROTOCOL, PartitionNotice, PeerAnswer, PeerCall,
    PeerFrame, PeerHello, PeerQuestion, decode_frame, encode_frame,
};
use pollendrift_coordination::agreement::{KeeperId, Membership};
use pollendrift_coordination::backpressure::{
    RateBatch, RateReport, RateScope, RequestRate, StatementReport,
};
use pollendrift_coordination::base::{
    AttemptNumber, Incarnation, ReceiptNumber, Revision, SequenceNumber, TokenPosition, WallTime,
};
use pollendrift_coordination::configuration::{
    ConfigurationDelta, ConfigurationDigest, DocumentChange, DocumentKey, LabelSubject,
};
use pollendrift_coordination::demand::{DemandBatch, DemandReport, ReportScope};
use pollendrift_coordination::evidence::{EvidenceFilter, OutcomeKind};
use pollendrift_coordination::forwarding::ForwardHost;
use pollendrift_coordination::hosts::{HostGossip, HostReach};
use pollendrift_coordination::leases::{
    AnnouncedLoad, FullLease, LeaseBatch, LeaseDelta, LeaseNumber, LeaseRenewal, NamedLease,
    NumberedRenewal, PackedRenewals, ServerAnnounce, ServerState,
};
use pollendrift_coordination::ledger::GeneratedToken;
use pollendrift_coordination::poison::{
    ContentDigest, DigestNote, LossNote, LostRequest, PoisonNotice, RequestContent, SendNumber,
    TrialNote, WithdrawnNote,
};
use pollendrift_coordination::quarantine::{
    BrokenNote, CrashId, CrashNote, PartDigest, PartKey, PartNote, QuarantineNotice,
};
use pollendrift_coordination::routing::{EngineLoad, SurveyResult};
use pollendrift_coordination::streams::{StreamRecord, StreamUpdate};
use pollendrift_store::{GroupId, JoinedGroup};
use serde_json::json;

fn address(last: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, last], 7070))
}

fn bytes(text: &str) -> FrameBytes {
    text.as_bytes().to_vec().into()
}

fn keeper(host: &str, incarnation: u64) -> KeeperId {
    KeeperId {
        host: host.into(),
        incarnation: Incarnation(incarnation),
    }
}

fn reach() -> HostReach {
    HostReach {
        address: address(1),
        keeper: true,
        data_centre: Some("brest".into()),
        heartbeats: Some(address(2)),
    }
}

fn introduction() -> KeeperIntroduction {
    let founding = Membership {
        voters: BTreeSet::from([keeper("k1", 3)]),
        learners: BTreeSet::from([keeper("k2", 4)]),
    };
    KeeperIntroduction {
        keeper: keeper("k1", 3),
        group: Some(JoinedGroup {
            id: GroupId(9),
            founding,
        }),
        keepers: vec!["k1".into(), "k2".into()],
        outranked_by: Some(Incarnation(5)),
    }
}

fn delta() -> ConfigurationDelta {
    let edit = json!([{"Keep": {"start": 1, "len": 2}}, {"Insert": "new"}]);
    let labels = DocumentKey::Labels {
        subject: LabelSubject::Customer,
        name: "c*".to_owned(),
        matching: "a In [b]".to_owned(),
    };
    let change = |key, text: Option<&str>, edit| DocumentChange {
        key,
        text: text.map(Into::into),
        edit,
    };
    ConfigurationDelta {
        from: Revision(7),
        to: Revision(8),
        changes: vec![
            change(labels, Some("text"), None),
            change(DocumentKey::Selector("s".into()), None, None),
            change(
                DocumentKey::Source,
                None,
                Some(serde_json::from_value(edit).expect("steps of an edit")),
            ),
        ],
        digest: ConfigurationDigest([0xab; 32]),
    }
}

fn load() -> AnnouncedLoad {
    AnnouncedLoad {
        running: 1,
        queued: 2,
        prefill_tokens: 3,
        kv_used_tokens: 4,
    }
}

fn announce(state: ServerState) -> ServerAnnounce {
    ServerAnnounce {
        server: "e1".into(),
        incarnation: Incarnation(2),
        sequence: SequenceNumber(3),
        address: "10.0.0.1:80".into(),
        data_centre: "brest".into(),
        state,
        checks_fencing: true,
        offer: "{}".into(),
        load: load(),
    }
}

fn leases() -> LeaseBatch {
    let full = |state| {
        LeaseDelta::Full(FullLease {
            announce: announce(state),
            age: Duration::from_millis(20),
        })
    };
    let renewal = LeaseDelta::Renewal(LeaseRenewal {
        server: "e1".into(),
        incarnation: Incarnation(2),
        sequence: SequenceNumber(4),
        digest: pollendrift_coordination::leases::AnnouncementDigest::of(&announce(
            ServerState::Serving,
        )),
        age: Duration::from_millis(30),
        load: Some(load()),
    });
    let named = [
        full(ServerState::Serving),
        full(ServerState::Leaving),
        renewal,
    ];
    let named = (1..).zip(named).map(|(number, delta)| NamedLease {
        number: LeaseNumber(number),
        delta,
    });
    LeaseBatch {
        table: Incarnation(6),
        named: named.collect(),
        renewals: PackedRenewals::pack(vec![NumberedRenewal {
            number: LeaseNumber(300),
            age: Duration::from_millis(40),
        }]),
        receipt: None,
    }
}

fn stream() -> StreamUpdate {
    StreamUpdate {
        request: "r1".into(),
        customer: "ponant".into(),
        digest: [0xcd; 32],
        version: "v1".into(),
        model_layers: 80,
        attempt: AttemptNumber(2),
        first: TokenPosition(5),
        tokens: vec![GeneratedToken {
            id: 11,
            text: "word".into(),
        }],
        finish: Some("length".to_owned()),
        replaces: false,
        receipt: None,
    }
}

fn questions() -> Vec<PeerQuestion> {
    vec![
        PeerQuestion::Submit(bytes("command")),
        PeerQuestion::ReadBarrier,
        PeerQuestion::ConfigurationAfter {
            have: Some(Revision(7)),
            max_bytes: None,
        },
        PeerQuestion::Operator(bytes("question")),
        PeerQuestion::RequestLookUp("r1".into()),
        PeerQuestion::Introduction(introduction()),
        PeerQuestion::Join(keeper("k2", 4)),
    ]
}

fn answers() -> Vec<PeerAnswer> {
    let configuration = |content| PeerAnswer::Configuration {
        revision: Revision(8),
        content,
    };
    let reason = || "why".to_owned();
    vec![
        PeerAnswer::Submitted(bytes("answer")),
        configuration(ConfigurationContent::Unchanged),
        configuration(ConfigurationContent::Delta(delta())),
        configuration(ConfigurationContent::Whole(bytes("text"))),
        PeerAnswer::Operator(bytes("answer")),
        PeerAnswer::Readable(12),
        PeerAnswer::Request(Some(bytes("record"))),
        PeerAnswer::Introduced(introduction()),
        PeerAnswer::NotLeader {
            leader: Some("k1".into()),
        },
        PeerAnswer::NotRun { reason: reason() },
        PeerAnswer::Unknown { reason: reason() },
        PeerAnswer::Stored,
    ]
}

fn hellos() -> Vec<PeerFrame> {
    let refusals = [
        HelloRefusal::Protocol {
            found: 4,
            spoken: 5,
        },
        HelloRefusal::UnknownHost { host: "h1".into() },
        HelloRefusal::OtherProof {
            host: "h1".into(),
            proven: "h2".into(),
        },
        HelloRefusal::NoHello,
    ];
    let hello = PeerFrame::Hello(PeerHello {
        protocol: PEER_PROTOCOL,
        host: "h1".into(),
        process: Incarnation(2),
        reach: Some(reach()),
    });
    let heartbeats = [
        PeerFrame::Heartbeat(HeartbeatNumber(3)),
        PeerFrame::Echo(HeartbeatNumber(3)),
    ];
    let refusals = refusals.into_iter().map(PeerFrame::Refusal);
    [hello]
        .into_iter()
        .chain(refusals)
        .chain(heartbeats)
        .collect()
}

fn calls() -> Vec<PeerFrame> {
    let call = |question| {
        PeerFrame::Call(PeerCall {
            number: CallNumber(4),
            hops: 1,
            patience: Duration::new(2, 5),
            question,
        })
    };
    let answer = |answer| PeerFrame::Answer {
        number: CallNumber(4),
        answer,
    };
    let calls = questions().into_iter().map(call);
    calls.chain(answers().into_iter().map(answer)).collect()
}

fn rates() -> RateBatch {
    let report = RateReport {
        server: "e1".into(),
        stated: Some(StatementReport {
            limit: RequestRate::from_per_second(3.2),
            age: Duration::from_millis(70),
        }),
        demand: RequestRate::from_per_second(1.5).expect("a rate"),
        hosts: 2,
    };
    RateBatch {
        scope: RateScope::Total,
        reports: vec![report],
    }
}

fn quarantine() -> QuarantineNotice {
    let note = PartNote {
        key: PartKey {
            service: "writers".into(),
            part: "5c1e".into(),
        },
        age: Duration::from_millis(20),
    };
    QuarantineNotice {
        crashes: vec![CrashNote {
            id: CrashId {
                server: "e1".into(),
                incarnation: Incarnation(2),
            },
            service: "writers".into(),
            version: Some("3".into()),
            age: Duration::from_millis(90),
            suspects: vec!["5c1e".into()],
            broken: Vec::new(),
        }],
        cleared: vec![note.clone()],
        tested: vec![note],
        proven: vec![PartDigest::of(&"writers".into(), &"5c1e".into())],
        whole: Vec::new(),
        answered: Vec::new(),
    }
}

/// A notice with the parts that older processes neither send nor read.
fn late_quarantine() -> QuarantineNotice {
    let mut notice = quarantine();
    for crash in &mut notice.crashes {
        crash.broken = vec![BrokenNote {
            part: "5c1e".into(),
            sent: Duration::from_millis(700),
            counts: BTreeMap::from([("h1".into(), 3)]),
            answered: true,
        }];
    }
    notice.whole = notice.cleared.clone();
    notice.answered = notice.proven.clone();
    notice
}

fn poison() -> PoisonNotice {
    let id = CrashId {
        server: "e1".into(),
        incarnation: Incarnation(2),
    };
    let digest = ContentDigest::of(&RequestContent::default());
    let note = DigestNote {
        digest,
        age: Duration::from_millis(20),
    };
    PoisonNotice {
        losses: vec![LossNote {
            id: id.clone(),
            service: "writers".into(),
            age: Duration::from_millis(90),
            silent: true,
            requests: vec![LostRequest {
                digest,
                send: SendNumber(7),
                servers: 3,
            }],
        }],
        withdrawn: vec![WithdrawnNote {
            id: id.clone(),
            age: Duration::from_millis(30),
        }],
        trials: vec![TrialNote {
            send: SendNumber(8),
            digest,
            servers: vec![id],
            age: Duration::from_millis(40),
        }],
        ended: vec![SendNumber(7)],
        cleared: vec![note],
        stopped: vec![note],
    }
}

fn broadcast_frames() -> Vec<PeerFrame> {
    let revision = Revision(8);
    let engine = SurveyResult {
        server: "e1".into(),
        incarnation: Incarnation(2),
        load: Some(EngineLoad {
            running: 1,
            waiting: 2,
            kv_tokens: 3,
            slowness: 150,
        }),
        age: Duration::from_millis(50),
    };
    let host = HostGossip {
        host: "h1".into(),
        reach: reach(),
        age: Duration::from_millis(60),
    };
    let configurations = [
        ConfigurationFrame::Holds { revision },
        ConfigurationFrame::Push(delta()),
        ConfigurationFrame::Pull { have: revision },
        ConfigurationFrame::Whole {
            revision,
            content: bytes("text"),
        },
    ];
    let others = [
        PeerFrame::Agreement(bytes("message")),
        PeerFrame::Hosts {
            keepers: vec![host],
            entries: 40,
        },
        PeerFrame::Stream(stream()),
        PeerFrame::Leases(leases()),
        PeerFrame::Survey {
            notes: vec![engine],
            pass_on: true,
            rates: None,
            partition: None,
            quarantine: None,
            poison: None,
            demand: None,
        },
        PeerFrame::Survey {
            notes: Vec::new(),
            pass_on: false,
            rates: Some(rates()),
            partition: None,
            quarantine: None,
            poison: None,
            demand: None,
        },
        PeerFrame::LeaseQuestion(vec!["e1".into()]),
        PeerFrame::LeaseNumbers(vec![LeaseNumber(300)]),
        PeerFrame::Stream(StreamUpdate {
            receipt: Some(ReceiptNumber(9)),
            ..stream()
        }),
        partition_frame(PartitionNotice::Unreachable {
            services: vec!["writers".into()],
            wants_hosts: true,
        }),
        partition_frame(PartitionNotice::Hosts(vec![ForwardHost {
            host: "h2".into(),
            address: reach().address,
            data_centre: Some("one".into()),
        }])),
        PeerFrame::Survey {
            notes: Vec::new(),
            pass_on: false,
            rates: None,
            partition: None,
            quarantine: Some(quarantine()),
            poison: None,
            demand: None,
        },
        PeerFrame::Survey {
            notes: Vec::new(),
            pass_on: false,
            rates: None,
            partition: None,
            quarantine: None,
            poison: None,
            demand: Some(demand()),
        },
        PeerFrame::Survey {
            notes: Vec::new(),
            pass_on: false,
            rates: None,
            demand: None,
            partition: None,
            quarantine: Some(late_quarantine()),
            poison: Some(Box::new(poison())),
        },
    ];
    let configurations = configurations.into_iter().map(PeerFrame::Configuration);
    configurations.chain(others).collect()
}

fn demand() -> DemandBatch {
    DemandBatch {
        scope: ReportScope::Total,
        reports: vec![DemandReport {
            service: "writers".into(),
            tokens_per_second: 261_000.0,
            hosts: 63,
        }],
    }
}

fn partition_frame(notice: PartitionNotice) -> PeerFrame {
    PeerFrame::Survey {
        notes: Vec::new(),
        pass_on: false,
        rates: None,
        partition: Some(notice),
        quarantine: None,
        poison: None,
        demand: None,
    }
}

/// Encoded bytes of each frame, and their generic CBOR value.
fn encodings(frames: &[PeerFrame]) -> String {
    let mut text = String::new();
    for frame in frames {
        let encoded = encode_frame(frame, usize::MAX).expect("encodes");
        assert_eq!(decode_frame(&encoded).as_ref(), Ok(frame));
        let (compression, content) = encoded.split_first().expect("a first byte");
        assert_eq!(*compression, 0, "a short frame is not compressed");
        let generic: ciborium::Value = ciborium::from_reader(content).expect("CBOR");
        let generic = serde_json::to_string(&generic).expect("text keys");
        let _ = writeln!(text, "{generic}");
        for byte in &encoded {
            let _ = write!(text, "{byte:02x}");
        }
        text.push('\n');
    }
    text
}

// Guards against a renamed field or variant of a hello, a refusal or a heartbeat, which would prevent
// links between daemons of the old and the new version.
#[test]
fn hellos_and_heartbeats_keep_their_encoding() {
    insta::assert_snapshot!(encodings(&hellos()));
}

// Guards against a renamed field or variant, which would make questions between old and new daemons
// unanswerable.
#[test]
fn calls_and_answers_keep_their_encoding() {
    insta::assert_snapshot!(encodings(&calls()));
}

// Guards against a renamed field or variant, which would prevent configurations, leases, streams,
// surveys and hosts from being sent between old and new daemons.
#[test]
fn broadcast_frames_keep_their_encoding() {
    insta::assert_snapshot!(encodings(&broadcast_frames()));
}

fn keeper_questions() -> Vec<KeeperQuestion> {
    let filter = EvidenceFilter {
        request: Some("r1".into()),
        customer: Some("ponant".into()),
        from: Some(WallTime(1)),
        until: Some(WallTime(2)),
        outcome: Some(OutcomeKind::Complete),
        selector: Some("s".into()),
    };
    vec![
        KeeperQuestion::Configuration {
            revision: Some(Revision(7)),
        },
        KeeperQuestion::History {
            before: Some(Revision(7)),
            limit: 5,
        },
        KeeperQuestion::InForceAt { time: WallTime(9) },
        KeeperQuestion::Evidence {
            filter: Box::new(filter),
            limit: 6,
        },
        KeeperQuestion::EvidenceExport,
        KeeperQuestion::Refusals {
            request: "r1".into(),
        },
        KeeperQuestion::OwnRefusals {
            request: "r1".into(),
        },
    ]
}

// Guards against a renamed field or variant, which would leave operators' questions unanswered
// between old and new daemons. They are sent from a host without a keeper to one with a keeper.
#[test]
fn operators_questions_between_hosts_keep_their_encoding() {
    let answer = KeeperAnswer {
        status: 404,
        content_type: "text/plain".to_owned(),
        body: b"gone".to_vec(),
    };
    let questions = keeper_questions();
    let lines = questions.iter().map(serde_json::to_string);
    let lines = lines.chain([serde_json::to_string(&answer)]);
    let lines: Result<Vec<_>, _> = lines.collect();
    insta::assert_snapshot!(lines.expect("encodes").join("\n"));
}

// Guards against a renamed field, which would prevent resuming a stream at a host of another version.
// A host answers a look-up with its record of a stream.
#[test]
fn records_of_streams_keep_their_encoding() {
    let note = stream();
    let record = StreamRecord {
        customer: note.customer,
        digest: note.digest,
        version: note.version,
        model_layers: note.model_layers,
        attempt: note.attempt,
        tokens: note.tokens,
        finish: note.finish,
    };
    let mut bytes = Vec::new();
    ciborium::into_writer(&record, &mut bytes).expect("encodes");
    let generic: ciborium::Value = ciborium::from_reader(bytes.as_slice()).expect("CBOR");
    let mut text = serde_json::to_string(&generic).expect("text keys");
    text.push('\n');
    for byte in bytes {
        let _ = write!(text, "{byte:02x}");
    }
    insta::assert_snapshot!(text);
}

// Guards against a renamed domain: certificates are issued for these domains, so hosts and operators
// could no longer authenticate.
#[test]
fn domains_of_certificates_stay() {
    let domains = [HOST_DOMAIN, OPERATOR_DOMAIN];
    assert_eq!(domains, ["hosts.pollendrift", "operators.pollendrift"]);
}
