//! Tests of the quarantine of prompt parts that crash engines, in virtual time.

#[path = "quarantine/fleet.rs"]
mod fleet;
#[path = "quarantine/late.rs"]
mod late;
#[path = "quarantine/sound.rs"]
mod sound;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use pollendrift_coordination::base::{
    Incarnation, MonotonicTime, PartName, ServerName, ServiceName,
};
use pollendrift_coordination::quarantine::{
    Admission, CrashId, NoticeAudience, QuarantineSettings, QuarantineTable,
};

/// Time from the send of a draft to the crash of its engine.
const CRASH_DELAY: Duration = Duration::from_millis(100);
/// Time from a change at one host until the others know of it.
const NOTICE_DELAY: Duration = Duration::from_millis(20);
/// Crashes after which a part must be known to every host.
const KNOWN_CRASHES: usize = 5;
/// Engines that may crash on such a part afterwards.
const MAX_LATE_CRASHES: usize = 3;
/// Least time between two steps of a simulation.
const STEP: Duration = Duration::from_millis(10);

fn parts(names: &[&str]) -> Arc<[PartName]> {
    names.iter().map(|name| PartName::from(*name)).collect()
}

/// Hosts that share what they see, and engines that crash on some parts.
struct Fleet {
    hosts: Vec<QuarantineTable>,
    crashing: BTreeSet<PartName>,
    service: ServiceName,
    now: MonotonicTime,
    crashes: u64,
    /// Notices that are under way, with the time of their arrival and their sender.
    notices: Vec<(
        MonotonicTime,
        usize,
        pollendrift_coordination::quarantine::QuarantineNotice,
    )>,
    /// Whether notices arrive.
    is_connected: bool,
}

impl Fleet {
    fn new(hosts: u32, crashing: &[&str]) -> Self {
        let tables = (0..hosts).map(|index| {
            let name = format!("h-{index}");
            let mut table = QuarantineTable::new(QuarantineSettings::default(), &name);
            table.set_hosts(hosts);
            table
        });
        Self {
            hosts: tables.collect(),
            crashing: crashing.iter().map(|part| PartName::from(*part)).collect(),
            service: "writers".into(),
            now: MonotonicTime::from_millis(1_000),
            crashes: 0,
            notices: Vec::new(),
            is_connected: true,
        }
    }

    fn wait(&mut self, time: Duration) {
        let end = self.now.after(time);
        while self.now < end {
            self.now = self.now.after(STEP.min(end.since(self.now)));
            self.exchange();
        }
    }

    fn exchange(&mut self) {
        for index in 0..self.hosts.len() {
            let notice = self.hosts[index].take_changes(self.now, NoticeAudience::Keepers);
            self.hosts[index].take_changes(self.now, NoticeAudience::Followers);
            if !notice.is_empty() && self.is_connected {
                let arrives_at = self.now.after(NOTICE_DELAY);
                self.notices.push((arrives_at, index, notice));
            }
        }
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.notices)
            .into_iter()
            .partition(|(at, ..)| *at <= now);
        self.notices = later;
        let due: Vec<_> = due;
        for (_, sender, notice) in due {
            for (index, host) in self.hosts.iter_mut().enumerate() {
                if index != sender {
                    host.merge(now, notice.clone(), true);
                }
            }
        }
    }

    /// Whether a draft with `names` is sent at `host`. It is answered completely, or its engine crashes:
    /// the next draft may be on the same engine, and an answer that still ran would break with it.
    fn send(&mut self, host: usize, names: &[&str]) -> bool {
        let parts = parts(names);
        let service = self.service.clone();
        let table = &mut self.hosts[host];
        if let Admission::Hold(_) = table.admit(self.now, &service, &parts, None) {
            return false;
        }
        self.crashes += 1;
        let engine = ServerName::from(format!("e-{}", self.crashes));
        let send = table.record_sent(self.now, &service, &parts, vec![engine.clone()]);
        let crashes = parts.iter().any(|part| self.crashing.contains(part));
        self.wait(CRASH_DELAY);
        let table = &mut self.hosts[host];
        if crashes {
            self.crash(host, &engine);
            self.hosts[host].record_ended(self.now, send, false);
        } else {
            self.crashes -= 1;
            table.record_event(self.now, send);
            let ended_at = self.now.after(Duration::from_millis(300));
            table.record_event(ended_at, send);
            table.record_ended(ended_at, send, true);
        }
        true
    }

    fn crash(&mut self, host: usize, engine: &ServerName) {
        let id = CrashId {
            server: engine.clone(),
            incarnation: Incarnation(1),
        };
        let service = self.service.clone();
        let version = Some("1".into());
        self.hosts[host].record_crash(self.now, &id, &service, version);
    }

    fn is_held(&self, host: usize, names: &[&str]) -> bool {
        let held = self.hosts[host].held(self.now, &self.service, &parts(names), None);
        held.is_some()
    }
}

/// Guards against a part that crashes engine after engine: drafts with it at three hosts in turn crash
/// few engines within an hour, and none once five have crashed.
#[test]
fn few_engines_crash_on_one_part() {
    let mut fleet = Fleet::new(3, &["bad"]);
    let mut sent_at = Vec::new();
    for second in 0..3_600_usize {
        fleet.wait(Duration::from_millis(700));
        if fleet.send(second % 3, &["head", "bad"]) {
            sent_at.push(second);
        }
        fleet.send(second % 3, &["head"]);
    }
    // Tests after 5 s, 30 s and 300 s.
    insta::assert_debug_snapshot!(sent_at.len(), @"4");
    assert!(!fleet.is_held(0, &["head"]));
}

/// Guards against a sound part that is held back together with one that crashes engines: each answer
/// to a draft without the latter clears it.
#[test]
fn a_sound_part_beside_a_crashing_one_is_cleared_by_its_next_answer() {
    let mut fleet = Fleet::new(3, &["bad"]);
    assert!(fleet.send(0, &["new", "bad"]));
    fleet.wait(Duration::from_millis(100));
    assert!(fleet.is_held(1, &["new"]));
    fleet.wait(Duration::from_secs(6));
    assert!(fleet.send(1, &["new"]), "it is tested alone");
    fleet.wait(Duration::from_millis(100));
    let held: Vec<bool> = (0..3).map(|host| fleet.is_held(host, &["new"])).collect();
    assert_eq!(held, [false; 3]);
    assert!(
        fleet.send(2, &["other", "bad"]),
        "the test of the other part"
    );
    fleet.wait(Duration::from_secs(6));
    assert!(fleet.is_held(0, &["bad"]));
}

/// Guards against tests without end of two parts that always come together, so that neither is ever
/// the only suspect of a crash.
#[test]
fn few_engines_crash_on_two_parts_that_always_come_together() {
    let mut fleet = Fleet::new(3, &["bad"]);
    let mut crashes = 0;
    for second in 0..3_600_usize {
        fleet.wait(Duration::from_millis(900));
        crashes += usize::from(fleet.send(second % 3, &["only-here", "bad"]));
    }
    assert!(crashes <= KNOWN_CRASHES, "{crashes} engines crashed");
    assert!(
        fleet.send(0, &["only-here"]),
        "a draft without the other tells"
    );
    assert!(!fleet.is_held(0, &["only-here"]));
}

/// Guards against common parts that become suspects when engines crash for other reasons: one that was
/// answered at any host lately does not, by the first crash.
#[test]
fn a_part_answered_at_another_host_is_no_suspect() {
    let mut fleet = Fleet::new(3, &[]);
    assert!(fleet.send(0, &["common"]));
    fleet.wait(Duration::from_millis(100));
    for (host, engine) in [(1, "e-90"), (1, "e-91"), (2, "e-92")] {
        let engine = ServerName::from(engine);
        let (now, service) = (fleet.now, fleet.service.clone());
        let table = &mut fleet.hosts[host];
        table.record_sent(now, &service, &parts(&["common"]), vec![engine.clone()]);
        fleet.crash(host, &engine);
    }
    fleet.wait(Duration::from_millis(100));
    let held: Vec<bool> = (0..3)
        .map(|host| fleet.is_held(host, &["common"]))
        .collect();
    assert_eq!(held, [false; 3]);
}

/// Guards against a part that was sound, crashes engines since, and is cleared by its old answers for
/// ever.
#[test]
fn a_part_that_begins_to_crash_engines_is_held_back() {
    let mut fleet = Fleet::new(3, &[]);
    assert!(fleet.send(0, &["turned"]));
    fleet.crashing.insert("turned".into());
    let mut crashed_at = Vec::new();
    for second in 0..1_200 {
        if fleet.send(second % 3, &["turned"]) {
            crashed_at.push(fleet.now);
        }
        fleet.wait(Duration::from_secs(1));
    }
    let late = crashed_at.iter().skip(KNOWN_CRASHES).count();
    assert!(late <= MAX_LATE_CRASHES, "{crashed_at:?}");
    assert!(fleet.is_held(0, &["turned"]));
}

/// Guards against engines of one chain that crash together and count as several crashes of its draft,
/// after which it would not be tested any more.
#[test]
fn the_engines_of_one_chain_count_as_one_crash() {
    let mut fleet = Fleet::new(1, &[]);
    let engines: Vec<ServerName> = (0..9).map(|index| format!("c-{index}").into()).collect();
    let (now, service) = (fleet.now, fleet.service.clone());
    fleet.hosts[0].record_sent(now, &service, &parts(&["new"]), engines.clone());
    for engine in &engines {
        fleet.crash(0, engine);
    }
    let suspects = fleet.hosts[0].dump(now).suspects;
    assert_eq!((suspects.len(), suspects[0].crashes), (1, 1));
    fleet.wait(Duration::from_secs(6));
    assert!(fleet.send(0, &["new"]));
    assert!(!fleet.is_held(0, &["new"]));
}

/// Guards against a host that sends all requests by their parts rather than where there is room, as
/// after a start, when no answer is known.
#[test]
fn only_rare_unproven_parts_are_kept_together() {
    let mut fleet = Fleet::new(1, &[]);
    let service = fleet.service.clone();
    let rare = |fleet: &Fleet, part: &str| {
        let parts = parts(&[part]);
        let rare = fleet.hosts[0].rare_unproven_part(fleet.now, &service, &parts);
        rare.is_some()
    };
    assert!(!rare(&fleet, "new"), "all are unproven after a start");
    for number in 0..100 {
        fleet.send(0, &[&format!("common-{}", number % 5)]);
    }
    assert!(rare(&fleet, "new"));
    assert!(!rare(&fleet, "common-1"), "it is proven");
    for number in 0..100 {
        fleet.send(0, &[&format!("other-{number}")]);
    }
    assert!(!rare(&fleet, "new"), "most are unproven");
}

/// Guards against a wrong verdict that does not heal: whatever number of engines crashed under a part,
/// a new version of the model ends it, and so does an answer.
#[test]
fn a_verdict_ends_with_the_version_of_the_model() {
    let mut fleet = Fleet::new(1, &["bad"]);
    for _ in 0..80 {
        fleet.send(0, &["bad"]);
        fleet.wait(Duration::from_secs(10));
    }
    assert!(fleet.is_held(0, &["bad"]));
    let service = fleet.service.clone();
    fleet.hosts[0].retain_versions(&service, &BTreeSet::from(["1".into(), "2".into()]));
    assert!(fleet.is_held(0, &["bad"]), "engines hold the version still");
    fleet.hosts[0].retain_versions(&service, &BTreeSet::from(["2".into()]));
    assert!(!fleet.is_held(0, &["bad"]));
}

/// Guards against a host that has started anew, or was cut off, and tests what others know already.
#[test]
fn a_host_that_missed_the_crashes_learns_of_them() {
    let mut fleet = Fleet::new(2, &["bad"]);
    fleet.is_connected = false;
    assert!(fleet.send(0, &["bad"]));
    fleet.wait(Duration::from_secs(7));
    assert!(fleet.send(0, &["bad"]));
    fleet.wait(Duration::from_secs(20));
    assert!(!fleet.is_held(1, &["bad"]));
    let notice = fleet.hosts[0].full_notice(fleet.now);
    let now = MonotonicTime::from_millis(40);
    let mut fresh = QuarantineTable::new(QuarantineSettings::default(), "h-9");
    fresh.merge(now, notice.clone(), true);
    // It has run for less time than the crashes are old, and still tells their rounds apart.
    let held = fresh.held(now, &fleet.service, &parts(&["bad"]), None);
    let held = held.expect("it is held back");
    assert!(held.wait > Duration::from_secs(2), "{held:?}");
    assert_eq!(held.crashes, 2);
    let again = fresh.merge(now, notice, true);
    assert!(again.is_empty(), "a repeated notice changes nothing");
}

/// Guards against memory that grows with crashes: their number, and that of suspects, is bounded.
#[test]
fn crashes_and_suspects_are_bounded() {
    let mut fleet = Fleet::new(1, &[]);
    let service = fleet.service.clone();
    for crash in 0..200 {
        let engine = ServerName::from(format!("b-{crash}"));
        for draft in 0..40 {
            let part = format!("p-{crash}-{draft}");
            let table = &mut fleet.hosts[0];
            let engines = vec![engine.clone()];
            let send = table.record_sent(fleet.now, &service, &parts(&[&part]), engines);
            if draft > 20 {
                table.record_ended(fleet.now, send, false);
            }
        }
        fleet.crash(0, &engine);
    }
    let settings = QuarantineSettings::default();
    let notice = fleet.hosts[0].full_notice(fleet.now);
    assert!(notice.crashes.len() <= settings.max_crashes);
    let most = notice
        .crashes
        .iter()
        .map(|crash| crash.suspects.len())
        .max();
    assert!(most <= Some(settings.max_suspects));
}
