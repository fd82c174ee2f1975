//! Calls that may not be repeated, through several entries, while everything around them fails.
#![allow(clippy::unwrap_used, reason = "a test that can not go on must stop")]

use std::collections::{BTreeMap, VecDeque};
use std::fmt::Write;

use pollendrift_coordination::base::{HostName, Incarnation, SequenceNumber};
use pollendrift_coordination::claims::{
    AnswerBody, CallEffect, CallEvent, CallerResponse, ClaimScope, ClaimSettings, ClaimState,
    ClaimTable, ClaimTicket, ClaimedCall, RequestDigest, SettleClaim, StoredAnswer, TakeClaim,
};
use pollendrift_coordination::replicated::ReplicatedTime;
use proptest::prelude::{Strategy, prop_oneof, proptest};
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};

const NOW: ReplicatedTime = ReplicatedTime::from_micros(0);

/// How the next step of a call goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    /// It works.
    Works,
    /// Keepers: applied, the reply is lost. Backend server: it ran, the answer is lost.
    ReplyLost,
    /// Keepers: never applied. Backend server: bytes went out, it never ran, nobody knows.
    Lost,
    /// Keepers: applied later, long after the entry gave up. Backend server: connection refused.
    Delayed,
    /// Keepers: applied twice. Backend server: it says that it did not start.
    Twice,
    /// It works, and the entry dies before it hears of it.
    EntryDies,
}

const FATES: [Fate; 6] = [
    Fate::Works,
    Fate::ReplyLost,
    Fate::Lost,
    Fate::Delayed,
    Fate::Twice,
    Fate::EntryDies,
];

#[derive(Clone, Debug)]
enum LateCommand {
    Take(TakeClaim),
    Settle(SettleClaim),
}

struct Arrival {
    call: ClaimedCall,
    scope: ClaimScope,
    /// Incarnation of the entry; the arrival ends when the entry dies.
    alive: bool,
    effects: VecDeque<CallEffect>,
    told: Option<CallerResponse>,
    ran: bool,
}

/// Entries, keepers and one service, all in memory.
struct World {
    table: ClaimTable,
    incarnations: [u64; 3],
    arrivals: Vec<Arrival>,
    late: Vec<LateCommand>,
    runs: BTreeMap<ClaimScope, u32>,
}

fn host(entry: usize) -> HostName {
    format!("entry{entry}").into()
}

impl World {
    fn new() -> Self {
        Self {
            table: ClaimTable::new(ClaimSettings::default()),
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
            alive: true,
            effects: effects.into(),
            told: None,
            ran: false,
        });
        number
    }

    /// Carries out the next effect of an arrival; tells come without a step of their own.
    fn step(&mut self, number: usize, fate: Fate) {
        let Some(arrival) = self.arrivals.get_mut(number) else {
            return;
        };
        if !arrival.alive {
            return;
        }
        let Some(effect) = arrival.effects.pop_front() else {
            return;
        };
        let event = match effect {
            CallEffect::Respond(verdict) => {
                assert!(arrival.told.replace(verdict).is_none(), "told twice");
                return;
            }
            CallEffect::Send => self.send(number, fate),
            CallEffect::Take(take) => match self.commit(LateCommand::Take(take.clone()), fate) {
                true => CallEvent::TakeAnswered(self.table.take(&take, NOW)),
                false => CallEvent::TakeUnanswered,
            },
            CallEffect::Settle(settle) => match self.commit(LateCommand::Settle(settle), fate) {
                true => CallEvent::SettleAnswered,
                false => CallEvent::SettleUnanswered,
            },
        };
        if fate == Fate::EntryDies {
            let entry = self.arrivals[number].call.ticket().host.clone();
            self.kill(
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
            self.step(number, Fate::Works);
        }
    }

    fn send(&mut self, number: usize, fate: Fate) -> CallEvent {
        let arrival = &mut self.arrivals[number];
        let answer = StoredAnswer {
            status: 201,
            headers: Vec::new(),
            body: AnswerBody::Whole(format!("run by {number}").into_bytes()),
        };
        match fate {
            Fate::Lost => return CallEvent::AnswerLost,
            Fate::Delayed => return CallEvent::ConnectionRefused,
            Fate::Twice => return CallEvent::ProvedNotStarted,
            Fate::Works | Fate::ReplyLost | Fate::EntryDies => arrival.ran = true,
        }
        *self.runs.entry(arrival.scope.clone()).or_default() += 1;
        match fate {
            Fate::ReplyLost => CallEvent::AnswerLost,
            _ => CallEvent::Answered(answer),
        }
    }

    /// Brings a command to the keepers; tells whether a reply comes back.
    fn commit(&mut self, command: LateCommand, fate: Fate) -> bool {
        match fate {
            Fate::Lost => return false,
            Fate::Delayed => {
                self.late.push(command);
                return false;
            }
            Fate::Works | Fate::ReplyLost | Fate::EntryDies => self.apply(command),
            Fate::Twice => {
                self.apply(command.clone());
                self.apply(command);
            }
        }
        fate != Fate::ReplyLost
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

    /// The entry's process ends and starts anew; the keepers hear of it later.
    fn kill(&mut self, entry: usize) {
        self.incarnations[entry] += 1;
        for arrival in &mut self.arrivals {
            if arrival.call.ticket().host == host(entry) {
                arrival.alive = false;
            }
        }
    }

    /// The keepers hold the entry for dead, rightly or not.
    fn declare_dead(&mut self, entry: usize) {
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
            self.step(number, Fate::Works);
        }
    }

    fn check(&self) {
        for (scope, runs) in &self.runs {
            assert!(*runs <= 1, "{scope} ran {runs} times");
        }
        for arrival in &self.arrivals {
            let Some(told) = &arrival.told else { continue };
            match told {
                CallerResponse::NotRun(_) | CallerResponse::BodyDiffers { .. } => {
                    assert!(!arrival.ran, "told {told:?}, but it ran");
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

impl World {
    /// After all has come to an end, only dead entries hold keys.
    fn check_nothing_is_held_for_nobody(&self) {
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
                !holder.unwrap().1.alive,
                "{} is held by {request}",
                arrival.scope
            );
        }
    }
}

fn words(told: Option<&CallerResponse>) -> String {
    match told {
        None => "nothing".to_owned(),
        Some(CallerResponse::Answer(_)) => "the answer".to_owned(),
        Some(CallerResponse::StoredAnswer { .. }) => "the stored answer".to_owned(),
        Some(CallerResponse::InProgress { .. }) => "in progress".to_owned(),
        Some(CallerResponse::Unknown { .. }) => "unknown".to_owned(),
        Some(CallerResponse::BodyDiffers { .. }) => "other body".to_owned(),
        Some(CallerResponse::NotRun(reason)) => format!("not run: {reason}"),
    }
}

/// One caller files through entry 0, one step fails, and the caller resends through entry 1, first
/// at once and then after the keepers have heard of a dead entry. The table says what ran and what
/// the caller was told each time; nothing ever runs twice, and every `not run` is true.
#[test]
fn one_failure_at_each_step() {
    use Fate::{Delayed, EntryDies, Lost, ReplyLost, Twice, Works};
    let cases: [(&str, &[Fate]); 17] = [
        ("nothing fails", &[Works, Works, Works]),
        ("take: not committed", &[Lost, Works, Works]),
        (
            "take: committed, leader dies before its reply",
            &[ReplyLost, Works, Works],
        ),
        (
            "take: committed late, after the entry gave up",
            &[Delayed, Works, Works],
        ),
        (
            "take: committed late, before the resend",
            &[Delayed, Works, Works],
        ),
        ("take: committed twice", &[Twice, Works, Works]),
        ("entry dies after the take", &[EntryDies]),
        ("send: connection refused", &[Works, Delayed, Works]),
        (
            "send: backend server did not start it",
            &[Works, Twice, Works],
        ),
        (
            "send: link fails, backend server never got it",
            &[Works, Lost, Works],
        ),
        (
            "send: backend server dies after running it",
            &[Works, ReplyLost, Works],
        ),
        ("entry dies during the send", &[Works, EntryDies]),
        (
            "settle: not committed at first",
            &[Works, Works, Lost, Works],
        ),
        (
            "settle: committed, leader dies before its reply",
            &[Works, Works, ReplyLost, Works],
        ),
        ("settle: committed late", &[Works, Works, Delayed, Works]),
        ("entry dies after the settle", &[Works, Works, EntryDies]),
        ("entry dies before the settle", &[Works, Works]),
    ];
    let mut report = String::new();
    for (name, fates) in cases {
        let mut world = World::new();
        let first = world.arrive(0, 0, 0);
        for fate in fates {
            world.step(first, *fate);
        }
        if name.starts_with("entry dies") {
            world.kill(0);
        }
        if name.contains("before the resend") {
            world.apply_late();
        }
        let resend = world.arrive(1, 0, 0);
        world.run_to_end(resend);
        world.apply_late();
        world.declare_dead(0);
        let last = world.arrive(2, 0, 0);
        world.run_to_end(last);
        let other = world.arrive(2, 0, 1);
        world.run_to_end(other);
        world.check();
        let told = |number: usize| words(world.arrivals[number].told.as_ref());
        let _ = writeln!(
            report,
            "{name} | {} | {} | {} | {} | {}",
            told(first),
            told(resend),
            told(last),
            told(other),
            world.runs.values().sum::<u32>(),
        );
    }
    insta::assert_snapshot!(report, @r#"
    nothing fails | the answer | the stored answer | the stored answer | other body | 1
    take: not committed | not run: the claim could not be taken in time | the answer | the stored answer | other body | 1
    take: committed, leader dies before its reply | not run: the claim could not be taken in time | the answer | the stored answer | other body | 1
    take: committed late, after the entry gave up | not run: the claim could not be taken in time | the answer | the stored answer | other body | 1
    take: committed late, before the resend | not run: the claim could not be taken in time | the answer | the stored answer | other body | 1
    take: committed twice | the answer | the stored answer | the stored answer | other body | 1
    entry dies after the take | nothing | in progress | unknown | other body | 0
    send: connection refused | not run: the backend server refused the connection | the answer | the stored answer | other body | 1
    send: backend server did not start it | not run: the backend server did not start the call | the answer | the stored answer | other body | 1
    send: link fails, backend server never got it | unknown | unknown | unknown | other body | 0
    send: backend server dies after running it | unknown | unknown | unknown | other body | 1
    entry dies during the send | nothing | in progress | unknown | other body | 1
    settle: not committed at first | the answer | the stored answer | the stored answer | other body | 1
    settle: committed, leader dies before its reply | the answer | the stored answer | the stored answer | other body | 1
    settle: committed late | the answer | the stored answer | the stored answer | other body | 1
    entry dies after the settle | the answer | the stored answer | the stored answer | other body | 1
    entry dies before the settle | the answer | in progress | unknown | other body | 1
    "#);
}

/// Two arrivals of one key at one entry both come to nothing: the first is refused by the backend
/// server, the second gives up on its take. The second's take is applied last. It used to hold the
/// key for nobody, and the caller was told `in progress` until the entry ended, because giving back
/// a key that another ticket had taken left no mark.
#[test]
fn a_late_take_does_not_hold_a_key_given_back() {
    let mut world = World::new();
    let first = world.arrive(0, 0, 0);
    let second = world.arrive(0, 0, 0);
    world.step(first, Fate::Works);
    world.step(first, Fate::Delayed);
    world.step(second, Fate::Delayed);
    world.run_to_end(first);
    world.run_to_end(second);
    world.apply_late();
    world.check_nothing_is_held_for_nobody();
    let resend = world.arrive(1, 0, 0);
    world.run_to_end(resend);
    assert_eq!(words(world.arrivals[resend].told.as_ref()), "the answer");
}

#[derive(Clone, Debug)]
enum Move {
    Arrive { entry: usize, key: u8, body: u8 },
    Step { arrival: usize, fate: Fate },
    Kill { entry: usize },
    DeclareDead { entry: usize },
    ApplyLate { index: usize },
    RestartKeepers,
}

fn any_move() -> impl Strategy<Value = Move> {
    prop_oneof![
        3 => (0..3_usize, 0..2_u8, 0..8_u8).prop_map(|(entry, key, body)| Move::Arrive {
            entry,
            key,
            body: body / 7,
        }),
        12 => (0..40_usize, 0..12_usize).prop_map(|(arrival, fate)| Move::Step {
            arrival,
            fate: FATES.get(fate).copied().unwrap_or(Fate::Works),
        }),
        1 => (0..3_usize).prop_map(|entry| Move::Kill { entry }),
        1 => (0..3_usize).prop_map(|entry| Move::DeclareDead { entry }),
        2 => (0..8_usize).prop_map(|index| Move::ApplyLate { index }),
        1 => proptest::strategy::Just(Move::RestartKeepers),
    ]
}

fn play(moves: Vec<Move>) -> World {
    let mut world = World::new();
    for next in moves {
        match next {
            Move::Arrive { entry, key, body } => {
                world.arrive(entry, key, body);
            }
            Move::Step { arrival, fate } => {
                let recent = world.arrivals.len().saturating_sub(1 + arrival % 8);
                world.step(recent, fate);
            }
            Move::Kill { entry } => world.kill(entry),
            Move::DeclareDead { entry } => world.declare_dead(entry),
            Move::ApplyLate { index } => {
                if index < world.late.len() {
                    let command = world.late.swap_remove(index);
                    world.apply(command);
                }
            }
            Move::RestartKeepers => world.restart_keepers(),
        }
        world.check();
    }
    world
}

proptest! {
    #![proptest_config(Config {
        cases: 512,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Callers resend through any entry while entries die, are held for dead wrongly, keepers
    /// restart, and commands are lost, doubled and late. No key runs twice, every `not run` is
    /// true, and a stored answer is that of the one run.
    #[test]
    fn no_interleaving_runs_a_key_twice(
        moves in proptest::collection::vec(any_move(), 1..150),
    ) {
        let mut world = play(moves);
        for number in 0..world.arrivals.len() {
            world.run_to_end(number);
        }
        world.apply_late();
        world.check();
        world.check_nothing_is_held_for_nobody();
    }
}
