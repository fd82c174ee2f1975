//! Admission control: refusals, queue order, and fairness while one customer floods the entry.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use pollendrift_coordination::base::{CustomerName, MonotonicTime, RequestId};
use pollendrift_coordination::limits::{
    AdmissionCapacity, AdmissionChange, AdmissionRefusal, AdmissionRequest, AdmissionTable,
    AdmissionVerdict, CustomerLimits, LimitSettings, PriorityReserve, RequestPriority, TicketKey,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const RUN: Duration = Duration::from_millis(100);

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn offer(customer: &str, request: &str) -> AdmissionRequest {
    AdmissionRequest {
        request: RequestId::from(request),
        customer: CustomerName::from(customer),
        priority: RequestPriority::Normal,
        tokens: 100,
        run_time: RUN,
        deadline: None,
        is_return: false,
    }
}

fn table(max_in_flight: u32, kv_tokens: u64) -> AdmissionTable {
    let capacity = AdmissionCapacity {
        max_in_flight,
        kv_tokens,
        max_request_tokens: kv_tokens,
        reserve: PriorityReserve::default(),
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

// Guards against requests that wait before they are refused, or are refused with the wrong reason.
// One slot is occupied; the following requests exceed each limit in turn.
#[test]
fn requests_over_a_limit_are_refused_at_once() {
    let mut table = table(1, 1_000);
    let limits = CustomerLimits {
        max_queued: 1,
        requests_per_second: 1,
        burst: 2,
        ..CustomerLimits::default()
    };
    table.set_limits(at(0), &CustomerName::from("small"), limits);
    let mut lines = Vec::new();
    let mut record = |name: &str, verdict: &AdmissionVerdict| {
        lines.push(format!("{name}: {}", describe(verdict)));
    };
    record("first", &table.offer(at(0), offer("small", "r1")));
    record("waits", &table.offer(at(0), offer("small", "r2")));
    record("queue full", &table.offer(at(0), offer("small", "r3")));
    let mut large = offer("other", "r4");
    large.tokens = 1_001;
    record("too large", &table.offer(at(0), large));
    let mut late = offer("other", "r5");
    late.deadline = Some(at(99));
    record("deadline too near", &table.offer(at(0), late));
    let limits = CustomerLimits {
        max_queued: 9,
        ..limits
    };
    table.set_limits(at(0), &CustomerName::from("small"), limits);
    record("rate", &table.offer(at(0), offer("small", "r6")));
    record("rate later", &table.offer(at(1_000), offer("small", "r7")));
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

// Guards against a queued request that is refused only when a slot becomes free, although its
// deadline was out of reach before. r2 and r3 wait behind r1; r2 must start by 50 ms; r1 ends at
// 60 ms, and r3 runs.
#[test]
fn a_queued_request_past_its_latest_start_is_refused_at_the_next_tick() {
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

// Guards against an admission that is never reported. r1 ends; before the next tick, the offer of
// r3 admits the waiting r2. The tick must report r2, and r3 waits.
#[test]
fn an_admission_during_an_offer_is_reported_by_the_next_tick() {
    let mut table = table(1, 1_000);
    let first = table.offer(at(0), offer("a", "r1"));
    table.offer(at(0), offer("b", "r2"));
    table.finish(at(10), ticket(&first).unwrap());
    let third = table.offer(at(10), offer("a", "r3"));
    assert_eq!(describe(&third), "queue");
    assert_eq!(admitted(&table.tick(at(10))), ["r2"]);
    assert_eq!((table.in_flight(), table.queued()), (1, 1));
}

// Guards against small requests that starve a large one, and against finished requests that keep
// their slot.
#[test]
fn a_large_request_runs_before_later_small_ones() {
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

// Guards against a wrong order of priorities and against starvation: urgent requests run before
// batch requests, but every sixteenth admission goes to the lowest priority.
#[test]
fn requests_run_by_priority_without_starving_the_lowest() {
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

/// Waiting times and refusals by customer in one simulated run.
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

/// Simulates 20 s: each of ten quiet customers offers one request per 100 ms, and one customer
/// offers `flood` requests per millisecond. Twenty requests run concurrently, for 100 ms each or,
/// with `is_spread`, for 50 to 150 ms.
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
                    assert_eq!(refusal.reason, AdmissionRefusal::QueueFull);
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

// Guards against one customer's flood that delays the others. The flood offers 25 times the entry's
// capacity, with the weight of each other customer or four times it. The others use 56 % or 70 % of
// their shares: a customer that uses its full share must expect to queue.
//
// The p95 of the others may grow by a factor of 1.3, or of 2 if all running requests end
// simultaneously. Shares follow the weights and a customer below its share runs next, so it waits for
// one free slot only; if all requests end together, no slot becomes free for one full run.
#[test]
fn a_flood_delays_other_customers_by_a_bounded_factor() {
    for (is_spread, max_factor_tenths) in [(true, 13), (false, 20)] {
        let alone = run_flood(0, 1, is_spread);
        for weight in [1, 4] {
            let flooded = run_flood(5, weight, is_spread);
            for customer in (0..10).map(|c| format!("quiet-{c}")) {
                let (before, after) = (alone.p95(&customer), flooded.p95(&customer));
                assert!(
                    after * 10 <= before * max_factor_tenths,
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

// Guards against shares that ignore the weights. Two customers with weights 3 and 1 both offer more
// than the capacity.
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
