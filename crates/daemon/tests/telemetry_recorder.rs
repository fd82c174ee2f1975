//! Contract of the evidence recorder: what is waited for, and what a handler's end leaves.
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

/// Time that stands still: batches are due at once.
#[derive(Debug)]
struct StillClock;

impl TimeSource for StillClock {
    fn now(&self) -> MonotonicTime {
        MonotonicTime::START
    }

    fn wall(&self) -> WallTime {
        WallTime(1_764_633_600_000)
    }
}

/// Keepers that store a batch for each permit, and say so or give an error.
struct FakeKeepers {
    permits: Arc<Semaphore>,
    answer: Result<(), SinkError>,
    records: Arc<Mutex<Vec<SealedRecord>>>,
    asked: watch::Sender<usize>,
}

impl FakeKeepers {
    fn new(permits: usize, answer: Result<(), SinkError>) -> Self {
        Self {
            permits: Arc::new(Semaphore::new(permits)),
            answer,
            records: Arc::default(),
            asked: watch::Sender::new(0),
        }
    }

    /// Kinds of the stored records, with the outcome of those that have one.
    fn stored(&self) -> Vec<String> {
        let records = self.records.lock().unwrap();
        let show = records.iter().map(|sealed| {
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
        show.collect()
    }
}

impl EvidenceSink for FakeKeepers {
    fn store(&self, sent: KeeperBatch) -> StoreFuture {
        let permits = Arc::clone(&self.permits);
        let records = Arc::clone(&self.records);
        let answer = self.answer.clone();
        self.asked.send_modify(|asked| *asked += 1);
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
    let bounds = BufferSettings {
        max_records,
        batch_delay: Duration::ZERO,
        ..BufferSettings::default()
    };
    let buffer = EvidenceBuffer::new(writer, bounds, ["keepers".into()]);
    Arc::new(EvidenceRecorder::new(buffer, Arc::new(StillClock)))
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

#[tokio::test]
async fn nothing_is_released_while_keepers_are_silent() {
    // What the caller sees: no byte of an answer while keepers store nothing, and everything as
    // soon as one batch gets through.
    let (recorder, keepers) = (recorder(64), FakeKeepers::new(0, Ok(())));
    let open = recorder.begin(begun("r1")).unwrap();
    while_running(&recorder, &keepers, async {
        let mut asked = keepers.asked.subscribe();
        asked.wait_for(|asked| *asked > 0).await.unwrap();
        let released = open.wait_for_start_record();
        tokio::pin!(released);
        let now = futures_util::poll!(&mut released);
        assert!(now.is_pending());
        keepers.permits.add_permits(1);
        released.await;
    })
    .await;
    assert_eq!(recorder.status().durable, SequenceNumber(1));
}

#[tokio::test]
async fn a_dropped_handler_leaves_an_end() {
    // What happens: the caller closes its connection and the HTTP library drops the handler in
    // the middle. The evidence says so; the room that was reserved for the end is free again.
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

#[tokio::test]
async fn a_leftover_process_takes_no_more_work() {
    // What happens: this process was cut off, and the host was started again elsewhere meanwhile.
    // Keepers refuse the older life's records; from then on it refuses callers.
    let keepers = FakeKeepers::new(100, Err(SinkError::Superseded));
    let recorder = recorder(64);
    let _open = recorder.begin(begun("r1")).unwrap();
    assert!(recorder.may_accept());
    let mut asked = keepers.asked.subscribe();
    while_running(&recorder, &keepers, async {
        asked.wait_for(|asked| *asked > 0).await.unwrap();
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
        reason: "no life yet".into(),
    }
}

#[tokio::test]
async fn a_refusal_waits_for_its_record_before_and_after_the_life_begins() {
    // What happens: a host that starts refuses a caller before keepers gave it a life. The refusal
    // is not released while no chain can hold it; once there is one it is its first record, and
    // later refusals wait in the same way.
    let keepers = FakeKeepers::new(100, Ok(()));
    let (recorder, slot) = (recorder(64), RecorderSlot::new(Arc::new(StillClock)));
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

#[tokio::test]
async fn refusals_before_the_life_begins_fill_no_memory() {
    // What happens: a stranger floods a host that waits for its life. What is beyond the bound is
    // counted, and the count is on record.
    let keepers = FakeKeepers::new(100, Ok(()));
    let (recorder, slot) = (recorder(4_096), RecorderSlot::new(Arc::new(StillClock)));
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
