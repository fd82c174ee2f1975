//! Timeline of a request as operators read it, and filters of records.

use pollendrift_coordination::base::{LayerRange, WallTime};
use pollendrift_coordination::evidence::{
    AttemptTrace, EvidenceEvent, EvidenceFilter, EvidenceRecord, OutcomeKind, TracedStage,
    request_timeline,
};

mod evidence_support;

use evidence_support::{begun, chain, finished, refused};

fn stage(server: &str, first: u32, end: u32) -> TracedStage {
    TracedStage {
        server: server.into(),
        layers: LayerRange::new(first, end),
    }
}

/// Returns the end of a request whose first attempt lost a stage.
fn finished_on_second_attempt(request: &str) -> EvidenceEvent {
    let mut event = finished(request, OutcomeKind::Complete);
    let attempt = |number: u32, from: u32, tokens, second: &str, ending: &str| AttemptTrace {
        attempt: number.into(),
        model: Some("clause-70b".into()),
        version: Some("v3".into()),
        adapter: None,
        stages: vec![stage("gpu-a", 0, 40), stage(second, 40, 80)],
        from: from.into(),
        tokens,
        ending: ending.into(),
    };
    if let EvidenceEvent::RequestFinished(end) = &mut event {
        end.attempts = vec![
            attempt(1, 0, 17, "gpu-b", "gpu-b closed the connection"),
            attempt(2, 17, 47, "gpu-c", "complete"),
        ];
    }
    event
}

fn records() -> Vec<EvidenceRecord> {
    let events = vec![
        begun("r1"),
        begun("r2"),
        refused("r3"),
        finished_on_second_attempt("r1"),
    ];
    let sealed = chain("brest-1", events).into_iter();
    sealed.map(|sealed| sealed.record).collect()
}

// Guards against a timeline that omits the decision, an attempt or the end, or that states an
// outcome without a record of it.
#[test]
fn a_timeline_shows_the_decision_every_attempt_and_the_end() {
    let timelines = ["r1", "r2", "r3", "r4"].map(|request| {
        let lines = request_timeline(&request.into(), &records());
        lines.join("\n")
    });
    insta::assert_snapshot!(timelines.join("\n\n"), @"
    2025-12-02T00:00:00.000Z brest-1/7 #1: begun for customer ponant: POST /v1/completions, 14 bytes, sha256 54c41e127afc16d7eeb639e1e198f39f818ac0dc649c8ac0a46c82fff402d48b
      decided by revision 4
      selector drafts serves it
      label tier=large
      attempt 1 of clause-70b version v3 over gpu-a layers 0..40 -> gpu-b layers 40..80: tokens from 0, 17 to the caller, gpu-b closed the connection
      attempt 2 of clause-70b version v3 over gpu-a layers 0..40 -> gpu-c layers 40..80: tokens from 17, 47 to the caller, complete
    2025-12-02T00:00:00.003Z brest-1/7 #4: ended complete with status 200: the last token was sent
      answer 6 bytes, sha256 0db52f4076c082518412afd3dd3576e2cb0c63703fd7fed5e23ade60efef31d9
      queued 0 us, first byte after 0 us, end after 0 us, revision 4 in force

    2025-12-02T00:00:00.001Z brest-1/7 #2: begun for customer ponant: POST /v1/completions, 14 bytes, sha256 54c41e127afc16d7eeb639e1e198f39f818ac0dc649c8ac0a46c82fff402d48b
      decided by revision 4
      selector drafts serves it
      label tier=large
    no end is recorded: the entry stopped before it; what the caller saw is unknown

    2025-12-02T00:00:00.002Z brest-1/7 #3: refused to an unknown caller: POST /v1/completions, not-run with status 401, no-credential: nothing was sent to a backend server
      decided by revision 4
      no selector serves it

    no record mentions request r4
    ");
}

// Guards against a filter condition that is ignored, alone or in combination.
#[test]
fn filters_match_each_condition_and_combinations() {
    let filter = EvidenceFilter::default;
    let table = [
        ("all", filter()),
        (
            "request",
            EvidenceFilter {
                request: Some("r1".into()),
                ..filter()
            },
        ),
        (
            "customer",
            EvidenceFilter {
                customer: Some("ponant".into()),
                ..filter()
            },
        ),
        (
            "outcome",
            EvidenceFilter {
                outcome: Some(OutcomeKind::NotRun),
                ..filter()
            },
        ),
        (
            "selector",
            EvidenceFilter {
                selector: Some("drafts".into()),
                ..filter()
            },
        ),
        (
            "from",
            EvidenceFilter {
                from: Some(WallTime(1_764_633_600_002)),
                ..filter()
            },
        ),
        (
            "until",
            EvidenceFilter {
                until: Some(WallTime(1_764_633_600_002)),
                ..filter()
            },
        ),
        (
            "request and outcome",
            EvidenceFilter {
                request: Some("r1".into()),
                outcome: Some(OutcomeKind::Complete),
                ..filter()
            },
        ),
    ];
    let lines = table.map(|(name, filter)| {
        let records = records();
        let found = records.iter().filter(|record| filter.matches(record));
        let numbers: Vec<_> = found.map(|record| record.sequence.0).collect();
        format!("{name}: {numbers:?}")
    });
    insta::assert_snapshot!(lines.join("\n"), @"
    all: [1, 2, 3, 4]
    request: [1, 4]
    customer: [1, 2, 4]
    outcome: [3]
    selector: [1, 2, 4]
    from: [3, 4]
    until: [1, 2]
    request and outcome: [4]
    ");
}
