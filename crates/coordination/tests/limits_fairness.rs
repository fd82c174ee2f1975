//! Admission: fault cases in tables, and what a flood by one customer does to the others.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use pollendrift_coordination::base::{CustomerName, MonotonicTime, RequestId};
use pollendrift_coordination::limits::{
    AdmissionCapacity, AdmissionChange, AdmissionOffer, AdmissionTable, AdmissionVerdict,
    CustomerLimits, LimitSettings, RefusalReason, RequestPriority, TicketKey,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const RUN: Duration = Duration::from_millis(100);

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn offer(customer: &str, request: &str) -> AdmissionOffer {
    AdmissionOffer {
        request: RequestId::from(request),
        customer: CustomerName::from(customer),
        priority: RequestPriority::Normal,
        tokens: 100,
        run: RUN,
        deadline: None,
    }
}

fn table(max_in_flight: u32, kv_tokens: u64) -> AdmissionTable {
    let capacity = AdmissionCapacity {
        max_in_flight,
        kv_tokens,
    };
    AdmissionTable::new(LimitSettings::default(), capacity)
}

fn admitted(changes: &[AdmissionChange]) -> Vec<String> {
    let name = |change: &AdmissionChange| match change {
        AdmissionChange::Admitted { request, .. } => request.to_string(),
        AdmissionChange::Refused { request, refusal } => format!("{request} refused: {refusal}"),
    };
    changes.iter().map(name).collect()
}

fn describe(verdict: &AdmissionVerdict) -> String {
    match verdict {
        AdmissionVerdict::Admit(_) => "admit".to_owned(),
        AdmissionVerdict::Queue { .. } => "queue".to_owned(),
        AdmissionVerdict::Refuse(refusal) => {
            format!("refuse: {refusal}, {:?}", refusal.retry_after)
        }
    }
}

fn ticket(verdict: &AdmissionVerdict) -> Option<TicketKey> {
    match verdict {
        AdmissionVerdict::Admit(ticket) | AdmissionVerdict::Queue { ticket, .. } => Some(*ticket),
        AdmissionVerdict::Refuse(_) => None,
    }
}

// The caller is refused at once and with the reason, before anything of its request ran.
// One slot is taken; then come requests over each limit in turn. None of them waits first.
#[test]
fn what_cannot_run_is_refused_at_once() {
    let mut table = table(1, 1_000);
    let limits = CustomerLimits {
        max_queued: 1,
        requests_per_second: 1,
        burst: 2,
        ..CustomerLimits::default()
    };
    table.set_limits(at(0), &CustomerName::from("small"), limits);
    let mut lines = Vec::new();
    let mut note = |name: &str, verdict: &AdmissionVerdict| {
        lines.push(format!("{name}: {}", describe(verdict)));
    };
    note("first", &table.offer(at(0), offer("small", "r1")));
    note("waits", &table.offer(at(0), offer("small", "r2")));
    note("queue full", &table.offer(at(0), offer("small", "r3")));
    let mut large = offer("other", "r4");
    large.tokens = 1_001;
    note("too large", &table.offer(at(0), large));
    let mut late = offer("other", "r5");
    late.deadline = Some(at(99));
    note("deadline too near", &table.offer(at(0), late));
    let limits = CustomerLimits {
        max_queued: 9,
        ..limits
    };
    table.set_limits(at(0), &CustomerName::from("small"), limits);
    note("rate", &table.offer(at(0), offer("small", "r6")));
    note("rate later", &table.offer(at(1_000), offer("small", "r7")));
    assert_eq!((table.in_flight(), table.queued()), (1, 2));
    insta::assert_snapshot!(lines.join("\n"), @r"
    first: admit
    waits: queue
    queue full: refuse: queue full, Some(1s)
    too large: refuse: larger than the KV cache, None
    deadline too near: refuse: deadline cannot be met, Some(1s)
    rate: refuse: rate of the customer exceeded, Some(1s)
    rate later: queue
    ");
}

// The caller whose deadline passes while it waits is told with the next tick, not at the end.
// r2 and r3 wait behind r1; r2 can only start until 50 ms. r1 ends at 60 ms and r3 runs.
#[test]
fn a_deadline_that_passes_in_the_queue_is_told_promptly() {
    let mut table = table(1, 1_000);
    let first = table.offer(at(0), offer("c", "r1"));
    let mut second = offer("c", "r2");
    second.deadline = Some(at(150));
    table.offer(at(0), second);
    table.offer(at(0), offer("c", "r3"));
    assert_eq!(admitted(&table.tick(at(50))), Vec::<String>::new());
    assert_eq!(
        admitted(&table.tick(at(51))),
        ["r2 refused: deadline cannot be met"]
    );
    table.finish(at(60), ticket(&first).unwrap());
    assert_eq!(admitted(&table.tick(at(60))), ["r3"]);
}

// No caller is forgotten: r2, which waited, is told that it runs though an offer came in between.
// r1 ends without a tick; r3 is offered and takes the tick's place. r2 has the slot, r3 waits.
#[test]
fn an_offer_between_end_and_tick_loses_nobody() {
    let mut table = table(1, 1_000);
    let first = table.offer(at(0), offer("a", "r1"));
    table.offer(at(0), offer("b", "r2"));
    table.finish(at(10), ticket(&first).unwrap());
    let third = table.offer(at(10), offer("a", "r3"));
    assert_eq!(describe(&third), "queue");
    assert_eq!(admitted(&table.tick(at(10))), ["r2"]);
    assert_eq!((table.in_flight(), table.queued()), (1, 1));
}

// The caller of a large request is not passed over for ever by small ones, and a caller that goes
// away frees its place whether it ran or waited.
#[test]
fn large_requests_and_cancels_keep_the_order() {
    let mut table = table(10, 1_000);
    let first = table.offer(at(0), offer("a", "r1"));
    let mut large = offer("a", "large");
    large.tokens = 950;
    let large = table.offer(at(0), large);
    table.offer(at(0), offer("a", "small"));
    assert_eq!((table.in_flight(), table.queued()), (1, 2));
    table.finish(at(1), ticket(&first).unwrap());
    assert_eq!(admitted(&table.tick(at(1))), ["large"]);
    table.finish(at(2), ticket(&large).unwrap());
    assert_eq!(admitted(&table.tick(at(2))), ["small"]);
}

// Urgent goes before normal before batch, but batch is not starved: one in sixteen is its own.
#[test]
fn priorities_order_what_waits() {
    let mut table = table(1, 10_000);
    let mut running = ticket(&table.offer(at(0), offer("c", "r0")));
    for index in 0..20 {
        for priority in [RequestPriority::Batch, RequestPriority::Urgent] {
            let mut request = offer("c", &format!("{priority:?}-{index}"));
            request.priority = priority;
            assert_eq!(describe(&table.offer(at(0), request)), "queue");
        }
    }
    let mut order = String::new();
    for step in 1..=40 {
        table.finish(at(step), running.unwrap());
        let changes = table.tick(at(step));
        let [AdmissionChange::Admitted { ticket, request }] = &changes[..] else {
            panic!("one admission expected: {changes:?}");
        };
        order.push_str(&request.as_str()[..1]);
        running = Some(*ticket);
    }
    assert_eq!(order, "UUUUUUUUUUUUUUBUUUUUUBBBBBBBBBBBBBBBBBBB");
}

/// Requests of one run, and what their customers saw.
#[derive(Default)]
struct FloodRun {
    starts: BTreeMap<String, Vec<u64>>,
    refused: BTreeMap<String, u64>,
}

impl FloodRun {
    fn p95(&self, customer: &str) -> u64 {
        let mut waits = self.starts[customer].clone();
        waits.sort_unstable();
        waits[waits.len() * 95 / 100]
    }
}

/// Ten quiet customers offer a request each 100 ms; `flood` offers so many every millisecond.
/// Twenty run at a time, for 100 ms each, or for 50 to 150 ms where `is_spread`.
fn run_flood(flood: u32, weight: u32, is_spread: bool) -> FloodRun {
    let mut table = table(20, 1_000_000);
    let limits = CustomerLimits {
        weight,
        ..CustomerLimits::default()
    };
    table.set_limits(at(0), &CustomerName::from("flood"), limits);
    let mut run = FloodRun::default();
    let mut offered: BTreeMap<RequestId, (String, u64)> = BTreeMap::new();
    let mut ends: BTreeSet<(u64, TicketKey)> = BTreeSet::new();
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    for now in 0..20_000 {
        while let Some((_, ticket)) = ends.pop_first_if_due(now) {
            table.finish(at(now), ticket);
        }
        let mut started: Vec<(RequestId, TicketKey)> = Vec::new();
        for change in table.tick(at(now)) {
            if let AdmissionChange::Admitted { ticket, request } = change {
                started.push((request, ticket));
            }
        }
        let quiet = (0..10)
            .filter(|c| now % 100 == c * 10)
            .map(|c| format!("quiet-{c}"));
        let floods = (0..flood).map(|_| "flood".to_owned());
        for (index, customer) in quiet.chain(floods).enumerate() {
            let request = offer(&customer, &format!("{now}-{index}"));
            let id = request.request.clone();
            offered.insert(id.clone(), (customer.clone(), now));
            match table.offer(at(now), request) {
                AdmissionVerdict::Admit(ticket) => started.push((id, ticket)),
                AdmissionVerdict::Queue { .. } => {}
                AdmissionVerdict::Refuse(refusal) => {
                    assert_eq!(refusal.reason, RefusalReason::QueueFull);
                    *run.refused.entry(customer).or_default() += 1;
                }
            }
        }
        for (request, ticket) in started {
            assert!(offered.contains_key(&request), "{request} started twice");
            let (customer, since) = offered.remove(&request).unwrap_or_default();
            run.starts
                .entry(customer)
                .or_default()
                .push(now - since + 100);
            let spread = rng.random_range(50..=150);
            let length = if is_spread { spread } else { 100 };
            ends.insert((now + length, ticket));
        }
    }
    run
}

trait DueSet {
    fn pop_first_if_due(&mut self, now: u64) -> Option<(u64, TicketKey)>;
}

impl DueSet for BTreeSet<(u64, TicketKey)> {
    fn pop_first_if_due(&mut self, now: u64) -> Option<(u64, TicketKey)> {
        let is_due = self.first().is_some_and(|(end, _)| *end <= now);
        is_due.then(|| self.pop_first()).flatten()
    }
}

// The quiet customers' p95 stays within 1.3 of their own alone while one customer floods, or within
// 2 where all running requests end in step, since then no slot comes free for one whole run.
// The flood offers 25 times what the entry can run, with the weight of the others or four times it; the others
// ask for 56 or 70 in 100 of their shares. One that asks for its whole share must expect a queue.
// Shares are by weight and a customer below its share goes next, so it waits for one free slot.
#[test]
fn a_flood_leaves_the_others_within_a_stated_factor() {
    for (is_spread, tenths) in [(true, 13), (false, 20)] {
        let alone = run_flood(0, 1, is_spread);
        for weight in [1, 4] {
            let flooded = run_flood(5, weight, is_spread);
            for customer in (0..10).map(|c| format!("quiet-{c}")) {
                let (before, after) = (alone.p95(&customer), flooded.p95(&customer));
                assert!(
                    after * 10 <= before * tenths,
                    "{customer}: {before} ms, {after} ms"
                );
                assert_eq!(flooded.refused.get(&customer), None);
            }
            let all: usize = flooded.starts.values().map(Vec::len).sum();
            assert!(all * 100 >= 4_000 * 98, "{all} of 4000 slots used");
            assert!(flooded.refused["flood"] > 50_000);
        }
    }
}

// Two customers that both ask for more than there is get it by weight, three to one.
#[test]
fn shares_follow_the_weights() {
    let mut table = table(4, 1_000_000);
    let limits = CustomerLimits {
        weight: 3,
        ..CustomerLimits::default()
    };
    table.set_limits(at(0), &CustomerName::from("large"), limits);
    let mut running = Vec::new();
    for index in 0..400 {
        let customer = if index % 2 == 0 { "large" } else { "small" };
        let verdict = table.offer(at(0), offer(customer, &format!("{customer}-{index}")));
        if matches!(verdict, AdmissionVerdict::Admit(_)) {
            running.extend(ticket(&verdict));
        }
    }
    let mut large = 0;
    for step in 0..200 {
        table.finish(at(step), running.remove(0));
        for change in table.tick(at(step)) {
            if let AdmissionChange::Admitted { ticket, request } = change {
                running.push(ticket);
                large += u32::from(request.as_str().starts_with("large"));
            }
        }
    }
    assert!((148..=152).contains(&large), "{large} of 200");
}
