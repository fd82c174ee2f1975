//! Tests of the evidence recorder: waits for stored records, and end records of dropped handlers.
#![allow(clippy::unwrap_used, reason = "a helper that fails is a failed test")]

use std::sync::{Arc, Mutex};
use std::time::Duration;

use pollendrift::clock::TimeSource;
use pollendrift::telemetry::{
    EvidenceRecorder, EvidenceSink, RecorderSlot, SinkError, StoreFuture,
};
use pollendrift_coordination::base::{MonotonicTime, SequenceNumber, WallTime};
use pollendrift_coordination::evidence::{
    BodyDigest, BufferSettings, ChainWriter, DecisionTrace, EvidenceBuffer, EvidenceEvent,
    KeeperBatch, OutcomeKind, RequestBegun, RequestRefused, SealedRecord,
};
use tokio::sync::{Semaphore, watch};

/// Clock with a constant time; batches are due at once.
#[derive(Debug)]
struct FixedClock;

impl TimeSource for FixedClock {
    fn now(&self) -> MonotonicTime {
        MonotonicTime::START
    }

    fn wall(&self) -> WallTime {
        WallTime(1_764_633_600_000)
    }
}

/// Keepers that answer one batch per permit, with success or an error.
struct FakeKeepers {
    permits: Arc<Semaphore>,
    answer: Result<(), SinkError>,
    records: Arc<Mutex<Vec<SealedRecord>>>,
    calls: watch::Sender<usize>,
}

impl FakeKeepers {
    fn new(permits: usize, answer: Result<(), SinkError>) -> Self {
        Self {
            permits: Arc::new(Semaphore::new(permits)),
            answer,
            records: Arc::default(),
            calls: watch::Sender::new(0),
        }
    }

    /// Kinds of the stored records, with their outcomes where present.
    fn stored(&self) -> Vec<String> {
        let records = self.records.lock().unwrap();
        let kinds = records.iter().map(|sealed| {
            let kind = match &sealed.record.event {
                EvidenceEvent::RequestBegun(_) => "begun",
                EvidenceEvent::RequestFinished(_) => "finished",
                EvidenceEvent::RequestRefused(_) => "refused",
                EvidenceEvent::RefusalsOmitted(omitted) => {
                    return format!("{} omitted", omitted.count);
                }
                _ => "other",
            };
            let outcome = sealed.record.event.outcome();
            outcome.map_or(kind.to_owned(), |outcome| format!("{kind} {outcome}"))
        });
        kinds.collect()
    }
}

impl EvidenceSink for FakeKeepers {
    fn store(&self, sent: KeeperBatch) -> StoreFuture {
        let permits = Arc::clone(&self.permits);
        let records = Arc::clone(&self.records);
        let answer = self.answer.clone();
        self.calls.send_modify(|calls| *calls += 1);
        Box::pin(async move {
            permits.acquire().await.unwrap().forget();
            answer?;
            let parsed = sent
                .batch
                .lines
                .iter()
                .map(|line| SealedRecord::parse(line).unwrap());
            let mut records = records.lock().unwrap();
            records.extend(parsed);
            Ok(records.last().unwrap().record.sequence)
        })
    }
}

fn recorder(max_records: usize) -> Arc<EvidenceRecorder> {
    let writer = ChainWriter {
        host: "brest-1".into(),
        incarnation: 1.into(),
    };
    let settings = BufferSettings {
        max_records,
        batch_delay: Duration::ZERO,
        ..BufferSettings::default()
    };
    let buffer = EvidenceBuffer::new(writer, settings, ["keepers".into()]);
    Arc::new(EvidenceRecorder::new(buffer, Arc::new(FixedClock)))
}

fn begun(request: &str) -> RequestBegun {
    RequestBegun {
        request: request.into(),
        customer: "ponant".into(),
        operation: "POST /v1/completions".into(),
        key: None,
        body: BodyDigest::of(b"draft"),
        revision: 4.into(),
        decision: DecisionTrace::default(),
    }
}

/// Runs the recorder's loop until `work` is done.
async fn while_running<F>(recorder: &EvidenceRecorder, keepers: &FakeKeepers, work: F)
where
    F: Future<Output = ()>,
{
    tokio::select! {
        () = recorder.run(keepers) => {}
        () = work => {}
    }
}

// Guards against an answer whose end reaches the caller before its end record is stored: a crash in
// between would leave a complete answer without a record.
#[tokio::test]
async fn an_end_is_stored_before_the_caller_sees_it() {
    let (recorder, keepers) = (recorder(64), FakeKeepers::new(100, Ok(())));
    let mut open = recorder.begin(begun("r1")).unwrap();
    while_running(&recorder, &keepers, async {
        open.wait_for_start_record().await;
        assert_eq!(keepers.stored(), ["begun"]);
        open.update(|end| end.outcome = OutcomeKind::Complete);
        open.finish().await;
        assert_eq!(keepers.stored(), ["begun", "finished complete"]);
        recorder.flush().await;
    })
    .await;
    assert_eq!(recorder.status().records, 0);
}

// Guards against answer bytes sent to a caller while the keepers store nothing. The answer must be
// released as soon as one batch is stored.
#[tokio::test]
async fn nothing_is_released_while_keepers_are_silent() {
    let (recorder, keepers) = (recorder(64), FakeKeepers::new(0, Ok(())));
    let open = recorder.begin(begun("r1")).unwrap();
    while_running(&recorder, &keepers, async {
        let mut calls = keepers.calls.subscribe();
        calls.wait_for(|calls| *calls > 0).await.unwrap();
        let released = open.wait_for_start_record();
        tokio::pin!(released);
        let state = futures_util::poll!(&mut released);
        assert!(state.is_pending());
        keepers.permits.add_permits(1);
        released.await;
    })
    .await;
    assert_eq!(recorder.status().durable, SequenceNumber(1));
}

// Guards against a request without an end record, and against a leak of the buffer space reserved
// for it, when the caller closes its connection and the HTTP library drops the handler.
#[tokio::test]
async fn a_dropped_handler_writes_an_end_record() {
    let (recorder, keepers) = (recorder(4), FakeKeepers::new(100, Ok(())));
    for _ in 0..3 {
        let open = recorder.begin(begun("r1")).unwrap();
        drop(open);
        while_running(&recorder, &keepers, recorder.flush()).await;
    }
    assert_eq!(
        keepers.stored(),
        ["begun", "finished caller-gone"].repeat(3)
    );
    assert_eq!(recorder.status().reserved, 0);
}

// Guards against two incarnations of a host that both accept work: a process is disconnected and
// the host is started again elsewhere. The keepers refuse records of the former incarnation, which
// must then refuse callers.
#[tokio::test]
async fn a_former_incarnation_accepts_no_more_work() {
    let keepers = FakeKeepers::new(100, Err(SinkError::Superseded));
    let recorder = recorder(64);
    let _open = recorder.begin(begun("r1")).unwrap();
    assert!(recorder.may_accept());
    let mut calls = keepers.calls.subscribe();
    while_running(&recorder, &keepers, async {
        calls.wait_for(|calls| *calls > 0).await.unwrap();
        while recorder.may_accept() {
            tokio::task::yield_now().await;
        }
    })
    .await;
    assert!(recorder.begin(begun("r2")).is_err());
}

fn refused() -> RequestRefused {
    RequestRefused {
        request: "r1".into(),
        customer: None,
        operation: "POST /v1/completions".into(),
        body: BodyDigest::of(b""),
        revision: None,
        decision: DecisionTrace::default(),
        status: 503,
        outcome: OutcomeKind::NotRun,
        kind: "not-ready".into(),
        reason: "no incarnation yet".into(),
    }
}

// Guards against a refusal that reaches the caller without a record. A starting host refuses a
// caller before keepers assign an incarnation: the refusal must wait until it is the first record
// of the evidence chain, and later refusals must wait for their records too.
#[tokio::test]
async fn a_refusal_waits_for_its_record_before_and_after_the_incarnation_is_known() {
    let keepers = FakeKeepers::new(100, Ok(()));
    let (recorder, slot) = (recorder(64), RecorderSlot::new(Arc::new(FixedClock)));
    {
        let early = slot.refuse(refused());
        tokio::pin!(early);
        assert!(futures_util::poll!(&mut early).is_pending());
        slot.set_recorder(Arc::clone(&recorder));
        while_running(&recorder, &keepers, early).await;
    }
    assert_eq!(keepers.stored(), ["refused not-run"]);
    while_running(&recorder, &keepers, slot.refuse(refused())).await;
    assert_eq!(keepers.stored(), ["refused not-run"; 2]);
}

// Guards against unlimited memory use when an untrusted client sends many requests to a host that
// has no incarnation yet. Refusals beyond the limit must be counted, and the count recorded.
#[tokio::test]
async fn buffered_refusals_before_the_incarnation_are_limited() {
    let keepers = FakeKeepers::new(100, Ok(()));
    let (recorder, slot) = (recorder(4_096), RecorderSlot::new(Arc::new(FixedClock)));
    for _ in 0..1_500 {
        let early = slot.refuse(refused());
        tokio::pin!(early);
        assert!(futures_util::poll!(&mut early).is_pending());
    }
    slot.set_recorder(Arc::clone(&recorder));
    while_running(&recorder, &keepers, recorder.flush()).await;
    let stored = keepers.stored();
    assert_eq!(
        (stored.len(), stored.last().unwrap().as_str()),
        (1_025, "476 omitted")
    );
}
