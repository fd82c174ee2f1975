//! Simulation of non-idempotent calls through several entries with failures at every step.
#![allow(clippy::unwrap_used, reason = "a test may panic on a failed step")]

use std::collections::{BTreeMap, VecDeque};
use std::fmt::Write;

use pollendrift_coordination::base::{HostName, Incarnation, SequenceNumber};
use pollendrift_coordination::claims::{
    AnswerBody, CallEffect, CallEvent, CallerResponse, ClaimScope, ClaimSettings, ClaimState,
    ClaimTable, ClaimTicket, ClaimedCall, KnownClaim, RequestDigest, SettleClaim, StoredAnswer,
    TakeClaim,
};
use pollendrift_coordination::replicated::ReplicatedTime;
use proptest::prelude::{Strategy, prop_oneof, proptest};
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};

const NOW: ReplicatedTime = ReplicatedTime::from_micros(0);

/// Simulated result of the next step of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StepResult {
    /// The step succeeds.
    Succeeds,
    /// Keepers: the command is applied, the reply is lost. Backend server: the call ran, the answer
    /// is lost.
    ReplyLost,
    /// Keepers: the command is never applied. Backend server: bytes were sent, the call did not
    /// run, and the entry cannot know.
    Lost,
    /// Keepers: the command is applied long after the entry gave up. Backend server: the connection
    /// is refused.
    Delayed,
    /// Keepers: the command is applied twice. Backend server: it reports that it did not start.
    Twice,
    /// The step succeeds, and the entry crashes before it receives the result.
    EntryCrashes,
}

const STEP_RESULTS: [StepResult; 6] = [
    StepResult::Succeeds,
    StepResult::ReplyLost,
    StepResult::Lost,
    StepResult::Delayed,
    StepResult::Twice,
    StepResult::EntryCrashes,
];

#[derive(Clone, Debug)]
enum LateCommand {
    Take(TakeClaim),
    Settle(SettleClaim),
}

struct Arrival {
    call: ClaimedCall,
    scope: ClaimScope,
    /// Whether the entry process that received the arrival still runs.
    is_running: bool,
    effects: VecDeque<CallEffect>,
    response: Option<CallerResponse>,
    ran: bool,
}

/// In-memory simulation of three entries, the keepers and one service.
struct Simulation {
    table: ClaimTable,
    /// Older copy of the table, which entries read while no keeper answers; `None` if their copy is
    /// up to date.
    copy: Option<ClaimTable>,
    incarnations: [u64; 3],
    arrivals: Vec<Arrival>,
    late: Vec<LateCommand>,
    runs: BTreeMap<ClaimScope, u32>,
}

fn host(entry: usize) -> HostName {
    format!("entry{entry}").into()
}

impl Simulation {
    fn new() -> Self {
        Self {
            table: ClaimTable::new(ClaimSettings::default()),
            copy: None,
            incarnations: [1; 3],
            arrivals: Vec::new(),
            late: Vec::new(),
            runs: BTreeMap::new(),
        }
    }

    fn arrive(&mut self, entry: usize, key: u8, body: u8) -> usize {
        let number = self.arrivals.len();
        let scope = ClaimScope {
            customer: "plant".into(),
            service: "permits".into(),
            key: format!("key{key}").into(),
        };
        let (call, effects) = ClaimedCall::begin(TakeClaim {
            scope: scope.clone(),
            digest: RequestDigest([body; 32]),
            request: format!("request{number}").into(),
            ticket: ClaimTicket {
                host: host(entry),
                incarnation: Incarnation(self.incarnations[entry]),
                sequence: SequenceNumber(number as u64),
            },
        });
        self.arrivals.push(Arrival {
            call,
            scope,
            is_running: true,
            effects: effects.into(),
            response: None,
            ran: false,
        });
        number
    }

    /// Carries out the next effect of an arrival and the responses that follow it.
    fn step(&mut self, number: usize, result: StepResult) {
        let Some(arrival) = self.arrivals.get_mut(number) else {
            return;
        };
        if !arrival.is_running {
            return;
        }
        let Some(effect) = arrival.effects.pop_front() else {
            return;
        };
        let arrival_scope = arrival.scope.clone();
        let event = match effect {
            CallEffect::Respond(response) => {
                assert!(
                    arrival.response.replace(response).is_none(),
                    "two responses to one caller"
                );
                return;
            }
            CallEffect::Send => self.send(number, result),
            CallEffect::Take(take) => match self.commit(LateCommand::Take(take.clone()), result) {
                true => CallEvent::TakeAnswered(self.table.take(&take, NOW)),
                false => CallEvent::TakeUnanswered(self.known(&arrival_scope)),
            },
            CallEffect::Settle(settle) => match self.commit(LateCommand::Settle(settle), result) {
                true => CallEvent::SettleAnswered,
                false => CallEvent::SettleUnanswered,
            },
        };
        if result == StepResult::EntryCrashes {
            let entry = self.arrivals[number].call.ticket().host.clone();
            self.restart_entry(
                (0..3)
                    .find(|entry_number| host(*entry_number) == entry)
                    .unwrap(),
            );
            return;
        }
        let arrival = &mut self.arrivals[number];
        let effects = arrival.call.handle(event);
        arrival.effects.extend(effects);
        while let Some(CallEffect::Respond(_)) = self.arrivals[number].effects.front() {
            self.step(number, StepResult::Succeeds);
        }
    }

    /// Returns the claim of a key that entries know without an answer of the keepers.
    fn known(&self, scope: &ClaimScope) -> Option<KnownClaim> {
        self.copy.as_ref().unwrap_or(&self.table).known(scope)
    }

    fn send(&mut self, number: usize, result: StepResult) -> CallEvent {
        let arrival = &mut self.arrivals[number];
        let answer = StoredAnswer {
            status: 201,
            headers: Vec::new(),
            body: AnswerBody::Whole(format!("run by {number}").into_bytes()),
        };
        match result {
            StepResult::Lost => return CallEvent::AnswerLost,
            StepResult::Delayed => return CallEvent::ConnectionRefused,
            StepResult::Twice => return CallEvent::ProvedNotStarted,
            StepResult::Succeeds | StepResult::ReplyLost | StepResult::EntryCrashes => {
                arrival.ran = true
            }
        }
        *self.runs.entry(arrival.scope.clone()).or_default() += 1;
        match result {
            StepResult::ReplyLost => CallEvent::AnswerLost,
            _ => CallEvent::Answered(answer),
        }
    }

    /// Sends a command to the keepers; returns whether a reply arrives.
    fn commit(&mut self, command: LateCommand, result: StepResult) -> bool {
        match result {
            StepResult::Lost => return false,
            StepResult::Delayed => {
                self.late.push(command);
                return false;
            }
            StepResult::Succeeds | StepResult::ReplyLost | StepResult::EntryCrashes => {
                self.apply(command)
            }
            StepResult::Twice => {
                self.apply(command.clone());
                self.apply(command);
            }
        }
        result != StepResult::ReplyLost
    }

    fn apply(&mut self, command: LateCommand) {
        match command {
            LateCommand::Take(take) => {
                self.table.take(&take, NOW);
            }
            LateCommand::Settle(settle) => {
                self.table.settle(&settle, NOW);
            }
        }
    }

    /// Restarts the entry's process; the keepers do not know of it yet.
    fn restart_entry(&mut self, entry: usize) {
        self.incarnations[entry] += 1;
        for arrival in &mut self.arrivals {
            if arrival.call.ticket().host == host(entry) {
                arrival.is_running = false;
            }
        }
    }

    /// The keepers declare the entry's current incarnation ended, correctly or not.
    fn declare_ended(&mut self, entry: usize) {
        let ended = Incarnation(self.incarnations[entry]);
        self.table.end_incarnation(&host(entry), ended, NOW);
    }

    fn apply_late(&mut self) {
        for command in std::mem::take(&mut self.late) {
            self.apply(command);
        }
    }

    fn restart_keepers(&mut self) {
        let mut bytes = Vec::new();
        ciborium::into_writer(&self.table, &mut bytes).unwrap();
        let restored: ClaimTable = ciborium::from_reader(bytes.as_slice()).unwrap();
        assert_eq!(restored, self.table);
        self.table = restored;
    }

    fn run_to_end(&mut self, number: usize) {
        for _ in 0..8 {
            self.step(number, StepResult::Succeeds);
        }
    }

    fn check(&self) {
        for (scope, runs) in &self.runs {
            assert!(*runs <= 1, "{scope} ran {runs} times");
        }
        for arrival in &self.arrivals {
            let Some(response) = &arrival.response else {
                continue;
            };
            match response {
                CallerResponse::NotRun(_) | CallerResponse::BodyDiffers { .. } => {
                    assert!(!arrival.ran, "response {response:?}, but the call ran");
                }
                CallerResponse::Answer(_) => assert!(arrival.ran),
                CallerResponse::StoredAnswer { answer, .. } => {
                    let runner = self
                        .arrivals
                        .iter()
                        .position(|other| other.ran && other.scope == arrival.scope);
                    let expected = format!("run by {}", runner.unwrap()).into_bytes();
                    assert_eq!(answer.body, AnswerBody::Whole(expected));
                }
                CallerResponse::InProgress { .. } | CallerResponse::Unknown { .. } => {}
            }
        }
    }
}

impl Simulation {
    /// Checks that only crashed entries hold claims after all calls have ended.
    fn check_no_orphaned_claims(&self) {
        for arrival in &self.arrivals {
            let Some((request, ClaimState::InProgress)) = self.table.look_up(&arrival.scope) else {
                continue;
            };
            let holder = self
                .arrivals
                .iter()
                .enumerate()
                .find(|(number, _)| request.as_str() == format!("request{number}"));
            assert!(
                !holder.unwrap().1.is_running,
                "{} is held by {request}",
                arrival.scope
            );
        }
    }
}

fn describe(response: Option<&CallerResponse>) -> String {
    match response {
        None => "nothing".to_owned(),
        Some(CallerResponse::Answer(_)) => "the answer".to_owned(),
        Some(CallerResponse::StoredAnswer { .. }) => "the stored answer".to_owned(),
        Some(CallerResponse::InProgress { .. }) => "in progress".to_owned(),
        Some(CallerResponse::Unknown { .. }) => "unknown".to_owned(),
        Some(CallerResponse::BodyDiffers { .. }) => "other body".to_owned(),
        Some(CallerResponse::NotRun(reason)) => format!("not run: {reason}"),
    }
}

// Guards against a call that runs twice, or that runs although its caller received `not run`. A
// caller sends a call through entry 0, one step fails, and the caller resends through entry 1 at
// once and through entry 2 after the keepers declared entry 0 ended. Columns: case, the responses
// to these three, the response to another body with the same key, and the number of runs.
#[test]
fn a_call_runs_at_most_once_with_one_failure_at_each_step() {
    use StepResult::{Delayed, EntryCrashes, Lost, ReplyLost, Succeeds, Twice};
    let cases: [(&str, &[StepResult]); 18] = [
        ("nothing fails", &[Succeeds, Succeeds, Succeeds]),
        ("take: not committed", &[Lost, Succeeds, Succeeds]),
        (
            "take: committed, leader crashes before its reply",
            &[ReplyLost, Succeeds, Succeeds],
        ),
        (
            "take: committed late, after the entry gave up",
            &[Delayed, Succeeds, Succeeds],
        ),
        (
            "take: committed late, before the resend",
            &[Delayed, Succeeds, Succeeds],
        ),
        ("take: committed twice", &[Twice, Succeeds, Succeeds]),
        ("entry crashes after the take", &[EntryCrashes]),
        ("send: connection refused", &[Succeeds, Delayed, Succeeds]),
        (
            "send: backend server did not start it",
            &[Succeeds, Twice, Succeeds],
        ),
        (
            "send: connection lost, the call did not run",
            &[Succeeds, Lost, Succeeds],
        ),
        (
            "send: backend server crashes after running it",
            &[Succeeds, ReplyLost, Succeeds],
        ),
        ("entry crashes during the send", &[Succeeds, EntryCrashes]),
        (
            "settle: not committed at first",
            &[Succeeds, Succeeds, Lost, Succeeds],
        ),
        (
            "settle: committed, leader crashes before its reply",
            &[Succeeds, Succeeds, ReplyLost, Succeeds],
        ),
        (
            "settle: committed late",
            &[Succeeds, Succeeds, Delayed, Succeeds],
        ),
        (
            "entry crashes after the settle",
            &[Succeeds, Succeeds, EntryCrashes],
        ),
        ("entry crashes before the settle", &[Succeeds, Succeeds]),
        (
            "entry crashes after a settle that was not committed",
            &[Succeeds, Succeeds, Lost],
        ),
    ];
    let mut report = String::new();
    for (name, results) in cases {
        let mut simulation = Simulation::new();
        let first = simulation.arrive(0, 0, 0);
        for result in results {
            simulation.step(first, *result);
        }
        if name.starts_with("entry crashes") {
            simulation.restart_entry(0);
        }
        if name.contains("before the resend") {
            simulation.apply_late();
        }
        let resend = simulation.arrive(1, 0, 0);
        simulation.run_to_end(resend);
        simulation.apply_late();
        simulation.declare_ended(0);
        let last = simulation.arrive(2, 0, 0);
        simulation.run_to_end(last);
        let other = simulation.arrive(2, 0, 1);
        simulation.run_to_end(other);
        simulation.check();
        let response = |number: usize| describe(simulation.arrivals[number].response.as_ref());
        let _ = writeln!(
            report,
            "{name} | {} | {} | {} | {} | {}",
            response(first),
            response(resend),
            response(last),
            response(other),
            simulation.runs.values().sum::<u32>(),
        );
    }
    insta::assert_snapshot!(report, @r#"
    nothing fails | the answer | the stored answer | the stored answer | other body | 1
    take: not committed | not run: the claim could not be taken in time | the answer | the stored answer | other body | 1
    take: committed, leader crashes before its reply | not run: the claim could not be taken in time | the answer | the stored answer | other body | 1
    take: committed late, after the entry gave up | not run: the claim could not be taken in time | the answer | the stored answer | other body | 1
    take: committed late, before the resend | not run: the claim could not be taken in time | the answer | the stored answer | other body | 1
    take: committed twice | the answer | the stored answer | the stored answer | other body | 1
    entry crashes after the take | nothing | in progress | unknown | other body | 0
    send: connection refused | not run: the backend server refused the connection | the answer | the stored answer | other body | 1
    send: backend server did not start it | not run: the backend server did not start the call | the answer | the stored answer | other body | 1
    send: connection lost, the call did not run | unknown | unknown | unknown | other body | 0
    send: backend server crashes after running it | unknown | unknown | unknown | other body | 1
    entry crashes during the send | nothing | in progress | unknown | other body | 1
    settle: not committed at first | the answer | the stored answer | the stored answer | other body | 1
    settle: committed, leader crashes before its reply | the answer | the stored answer | the stored answer | other body | 1
    settle: committed late | the answer | the stored answer | the stored answer | other body | 1
    entry crashes after the settle | nothing | the stored answer | the stored answer | other body | 1
    entry crashes before the settle | nothing | in progress | unknown | other body | 1
    entry crashes after a settle that was not committed | the answer | in progress | unknown | other body | 1
    "#);
}

// Guards against a caller that has its response, resends its key at once through another entry and
// finds its own ended call in progress, because the keepers do not have its outcome yet. Columns:
// result of the send, the response to the first arrival, the response to the resend.
#[test]
fn a_response_is_sent_after_its_outcome_is_recorded() {
    let mut report = String::new();
    for sent in [
        StepResult::Succeeds,
        StepResult::ReplyLost,
        StepResult::Delayed,
        StepResult::Twice,
    ] {
        let mut simulation = Simulation::new();
        let first = simulation.arrive(0, 0, 0);
        simulation.step(first, StepResult::Succeeds);
        simulation.step(first, sent);
        while simulation.arrivals[first].response.is_none() {
            simulation.step(first, StepResult::Succeeds);
        }
        let resend = simulation.arrive(1, 0, 0);
        simulation.run_to_end(resend);
        simulation.check();
        let response = |number: usize| describe(simulation.arrivals[number].response.as_ref());
        let _ = writeln!(
            report,
            "{sent:?} | {} | {}",
            response(first),
            response(resend)
        );
    }
    insta::assert_snapshot!(report, @r#"
    Succeeds | the answer | the stored answer
    ReplyLost | unknown | unknown
    Delayed | not run: the backend server refused the connection | the answer
    Twice | not run: the backend server did not start the call | the answer
    "#);
}

// Guards against a resend that is refused as not run although its call ran or may run: its entry
// gets no answer of the keepers, but knows the claim of the first arrival. The caller would send the
// call again under another key. Columns: steps of the first arrival, and the responses to a resend
// without an answer of the keepers, to one with another body, and to a later one with an answer.
#[test]
fn a_resend_without_keepers_gets_the_known_state_of_its_key() {
    use StepResult::{Delayed, Lost, Succeeds};
    let cases: [(&str, &[StepResult]); 5] = [
        ("take lost", &[Lost]),
        ("taken", &[Succeeds]),
        ("not sent, released", &[Succeeds, Delayed, Succeeds]),
        ("answer lost", &[Succeeds, Lost, Succeeds]),
        ("finished", &[Succeeds, Succeeds, Succeeds]),
    ];
    let mut report = String::new();
    for (name, results) in cases {
        let mut simulation = Simulation::new();
        let first = simulation.arrive(0, 0, 0);
        for result in results {
            simulation.step(first, *result);
        }
        let resends = [(0, Lost), (1, Lost), (0, Succeeds)].map(|(body, taken)| {
            let resend = simulation.arrive(1, 0, body);
            simulation.step(resend, taken);
            simulation.run_to_end(resend);
            resend
        });
        simulation.run_to_end(first);
        simulation.check();
        simulation.check_no_orphaned_claims();
        let responses =
            resends.map(|number| describe(simulation.arrivals[number].response.as_ref()));
        let _ = writeln!(report, "{name} | {}", responses.join(" | "));
    }
    insta::assert_snapshot!(report, @r#"
    take lost | not run: the claim could not be taken in time | not run: the claim could not be taken in time | the answer
    taken | in progress | not run: the claim could not be taken in time | in progress
    not sent, released | not run: the claim could not be taken in time | not run: the claim could not be taken in time | the answer
    answer lost | unknown | not run: the claim could not be taken in time | unknown
    finished | the stored answer | not run: the claim could not be taken in time | the stored answer
    "#);
}

// Guards against a late take that claims a released key although no entry sends the call. Two
// arrivals of one key at one entry fail: the backend server refuses the connection of the first,
// the second gives up on its take, and that take is applied last. If the release of a key that
// another ticket claimed is not recorded, callers receive `in progress` until the entry ends.
#[test]
fn a_late_take_does_not_claim_a_released_key() {
    let mut simulation = Simulation::new();
    let first = simulation.arrive(0, 0, 0);
    let second = simulation.arrive(0, 0, 0);
    simulation.step(first, StepResult::Succeeds);
    simulation.step(first, StepResult::Delayed);
    simulation.step(second, StepResult::Delayed);
    simulation.run_to_end(first);
    simulation.run_to_end(second);
    simulation.apply_late();
    simulation.check_no_orphaned_claims();
    let resend = simulation.arrive(1, 0, 0);
    simulation.run_to_end(resend);
    assert_eq!(
        describe(simulation.arrivals[resend].response.as_ref()),
        "the answer"
    );
}

#[derive(Clone, Debug)]
enum Action {
    Arrive { entry: usize, key: u8, body: u8 },
    Step { arrival: usize, result: StepResult },
    RestartEntry { entry: usize },
    DeclareEnded { entry: usize },
    ApplyLate { index: usize },
    RestartKeepers,
    CopyTable,
}

fn any_action() -> impl Strategy<Value = Action> {
    prop_oneof![
        3 => (0..3_usize, 0..2_u8, 0..8_u8).prop_map(|(entry, key, body)| Action::Arrive {
            entry,
            key,
            body: body / 7,
        }),
        12 => (0..40_usize, 0..12_usize).prop_map(|(arrival, result)| Action::Step {
            arrival,
            result: STEP_RESULTS.get(result).copied().unwrap_or(StepResult::Succeeds),
        }),
        1 => (0..3_usize).prop_map(|entry| Action::RestartEntry { entry }),
        1 => (0..3_usize).prop_map(|entry| Action::DeclareEnded { entry }),
        2 => (0..8_usize).prop_map(|index| Action::ApplyLate { index }),
        1 => proptest::strategy::Just(Action::RestartKeepers),
    ]
}

fn any_action_with_old_copies() -> impl Strategy<Value = Action> {
    prop_oneof![
        20 => any_action(),
        1 => proptest::strategy::Just(Action::CopyTable),
    ]
}

fn simulate(actions: Vec<Action>) -> Simulation {
    let mut simulation = Simulation::new();
    for action in actions {
        match action {
            Action::Arrive { entry, key, body } => {
                simulation.arrive(entry, key, body);
            }
            Action::Step { arrival, result } => {
                let recent = simulation.arrivals.len().saturating_sub(1 + arrival % 8);
                simulation.step(recent, result);
            }
            Action::RestartEntry { entry } => simulation.restart_entry(entry),
            Action::DeclareEnded { entry } => simulation.declare_ended(entry),
            Action::ApplyLate { index } => {
                if index < simulation.late.len() {
                    let command = simulation.late.swap_remove(index);
                    simulation.apply(command);
                }
            }
            Action::RestartKeepers => simulation.restart_keepers(),
            Action::CopyTable => simulation.copy = Some(simulation.table.clone()),
        }
        simulation.check();
    }
    simulation
}

proptest! {
    #![proptest_config(Config {
        cases: 512,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..Config::default()
    })]

    // Guards against interleavings that run a call twice, report `not run` for a call that ran, or
    // return the stored answer of another run. Callers resend through any entry while entries
    // crash or are wrongly declared ended, keepers restart, and commands are lost, duplicated and
    // delayed.
    #[test]
    fn no_interleaving_runs_a_call_twice(
        actions in proptest::collection::vec(any_action(), 1..150),
    ) {
        let mut simulation = simulate(actions);
        for number in 0..simulation.arrivals.len() {
            simulation.run_to_end(number);
        }
        simulation.apply_late();
        simulation.check();
        simulation.check_no_orphaned_claims();
    }

    // Guards against the same where entries without an answer of the keepers respond from old
    // copies of the claim table.
    #[test]
    fn no_interleaving_with_old_copies_runs_a_call_twice(
        actions in proptest::collection::vec(any_action_with_old_copies(), 1..150),
    ) {
        let mut simulation = simulate(actions);
        for number in 0..simulation.arrivals.len() {
            simulation.run_to_end(number);
        }
        simulation.apply_late();
        simulation.check();
        simulation.check_no_orphaned_claims();
    }
}
