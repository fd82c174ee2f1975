//! Requests under which servers end: who they are, what counts, and what other hosts know, in virtual time.

#![allow(clippy::expect_used, reason = "a failed helper must fail the test")]

use std::time::Duration;

use pollendrift_coordination::base::{Incarnation, MonotonicTime};
use pollendrift_coordination::poison::{
    ContentDigest, LossKind, PoisonSettings, PoisonTable, PoisonVerdict, RequestContent, RunNumber,
    SendEnd, TrackedKey,
};
use pollendrift_coordination::quarantine::{CrashId, NoticeAudience};

const START: MonotonicTime = MonotonicTime::from_millis(60_000);

fn at(millis: u64) -> MonotonicTime {
    START.after(Duration::from_millis(millis))
}

fn server(name: &str) -> CrashId {
    CrashId {
        server: name.into(),
        incarnation: Incarnation(1),
    }
}

fn request(body: &str) -> ContentDigest {
    ContentDigest::of(&RequestContent {
        customer: "federation",
        method: "POST",
        target: "desk.example/draft/a?",
        prompt: "m head:40,own:200",
        body: body.as_bytes(),
    })
}

/// A host, whose requests are each sent in an attempt of their own.
struct TestHost {
    table: PoisonTable,
}

impl TestHost {
    fn new(seed: u64) -> Self {
        let table = PoisonTable::new(PoisonSettings::default(), seed << 32);
        Self { table }
    }

    fn send(&mut self, millis: u64, digest: ContentDigest, servers: &[&str]) -> TrackedKey {
        let run = self.table.begin_run();
        let servers = servers.iter().map(|name| server(name)).collect();
        self.table.begin_send(at(millis), digest, run, servers)
    }

    fn lose(&mut self, millis: u64, name: &str) {
        self.lose_as(millis, name, LossKind::Gone);
    }

    fn lose_as(&mut self, millis: u64, name: &str, kind: LossKind) {
        let service = "writers".into();
        self.table
            .record_loss(at(millis), &server(name), &service, kind);
    }

    /// Sends a request to servers of which `lost` end at `millis`, as it breaks.
    fn lose_under(&mut self, millis: u64, digest: ContentDigest, servers: &[&str], lost: &[&str]) {
        let key = self.send(millis, digest, servers);
        lost.iter().for_each(|name| self.lose(millis + 45, name));
        self.table.end_send(at(millis + 45), key, SendEnd::Broken);
    }

    fn verdict(&mut self, millis: u64, digest: ContentDigest) -> &'static str {
        let run = self.table.begin_run();
        name_of(&self.table.verdict(at(millis), digest, run))
    }

    /// Tells a host that follows this one, or that this one follows, what has changed.
    fn tell(&mut self, millis: u64, other: &mut Self) {
        let notice = self.table.take_changes(at(millis), NoticeAudience::Keepers);
        other.table.merge(at(millis), notice, false);
    }
}

fn name_of(verdict: &PoisonVerdict) -> &'static str {
    match verdict {
        PoisonVerdict::Send => "send",
        PoisonVerdict::Trial => "trial",
        PoisonVerdict::Wait => "wait",
        PoisonVerdict::Stop(_) => "stop",
    }
}

/// Guards against an identity that attempts do not share, or that sound requests of a session share.
#[test]
fn a_request_is_known_by_its_content() {
    let content = RequestContent {
        customer: "federation",
        method: "POST",
        target: "desk.example/draft/a?",
        prompt: "m head:40,own:200",
        body: b"body",
    };
    let digest = ContentDigest::of(&content);
    assert_eq!(ContentDigest::of(&content.clone()), digest);
    let others = [
        RequestContent {
            customer: "other",
            ..content
        },
        RequestContent {
            method: "PUT",
            ..content
        },
        RequestContent {
            target: "desk.example/draft/b?",
            ..content
        },
        RequestContent {
            prompt: "m head:40,own:250",
            ..content
        },
        RequestContent {
            body: b"next question",
            ..content
        },
    ];
    for other in others {
        assert_ne!(ContentDigest::of(&other), digest, "{other:?}");
    }
}

/// Guards against a fourth server that ends under one request: a table of what counts as an end.
#[test]
fn a_request_is_stopped_after_three_ends() {
    /// Servers of a send, and those of them that end.
    type Send = (&'static [&'static str], &'static [&'static str]);
    let cases: [(&str, &[Send]); 7] = [
        (
            "first engines",
            &[
                (&["a", "x"], &["a"]),
                (&["b", "x"], &["b"]),
                (&["c", "x"], &["c"]),
            ],
        ),
        (
            "later stages",
            &[
                (&["a", "x"], &["x"]),
                (&["a", "y"], &["y"]),
                (&["a", "z"], &["z"]),
            ],
        ),
        (
            "plain servers",
            &[(&["a"], &["a"]), (&["b"], &["b"]), (&["c"], &["c"])],
        ),
        ("two ends", &[(&["a", "x"], &["a"]), (&["b", "x"], &["b"])]),
        ("all of a chain", &[(&["a", "b", "c"], &["a", "b", "c"])]),
        (
            "most of a chain",
            &[(&["a", "b", "c", "d"], &["a", "b", "c"])],
        ),
        (
            "none",
            &[(&["a", "b"], &[]), (&["a", "b"], &[]), (&["a", "b"], &[])],
        ),
    ];
    let mut seen = Vec::new();
    for (name, sends) in cases {
        let mut host = TestHost::new(1);
        let digest = request("bad");
        let mut millis = 0;
        for (servers, lost) in sends {
            host.lose_under(millis, digest, servers, lost);
            millis += 300;
        }
        let sound = host.verdict(millis, request("sound"));
        seen.push(format!(
            "{name}: {}, another request: {sound}",
            host.verdict(millis, digest)
        ));
    }
    insta::assert_snapshot!(seen.join("\n"), @r"
    first engines: stop, another request: send
    later stages: stop, another request: send
    plain servers: stop, another request: send
    two ends: trial, another request: send
    all of a chain: stop, another request: send
    most of a chain: trial, another request: send
    none: send, another request: send
    ");
}

/// Guards against sound requests that are stopped because servers ended under them for other reasons: many
/// at the same moment, again and again.
#[test]
fn a_request_is_not_stopped_while_most_ended_servers_did_not_have_it() {
    let mut host = TestHost::new(1);
    let digest = request("long");
    let mut seen = Vec::new();
    for round in 0..6_u64 {
        let millis = round * 2_000;
        let name = format!("own-{round}");
        let key = host.send(millis, digest, &[&name, "x"]);
        for other in 0..3 {
            host.lose(millis + 100, &format!("other-{round}-{other}"));
        }
        host.lose(millis + 150, &name);
        host.table.end_send(at(millis + 150), key, SendEnd::Broken);
        seen.push(host.verdict(millis + 200, digest));
    }
    assert_eq!(seen, ["trial", "trial", "trial", "trial", "stop", "stop"]);
}

/// Guards against sound requests on chains of many servers that are stopped while one server after the
/// other ends, and against a request at fault that such ends excuse for longer than needed.
#[test]
fn ends_that_may_be_a_coincidence_stop_no_request() {
    let mut seen = Vec::new();
    for (known_servers, chain) in [(16, 8), (16, 2), (40, 5), (100, 10)] {
        for others in [0, 1, 2] {
            let mut host = TestHost::new(1);
            let sizes = [("writers".into(), known_servers)];
            host.table.set_service_sizes(sizes.into());
            for other in 0..others {
                host.lose(100 * other, &format!("other-{other}"));
            }
            let digest = request("long");
            for round in 0..3_u64 {
                let names: Vec<String> =
                    (0..chain).map(|stage| format!("{round}-{stage}")).collect();
                let names: Vec<&str> = names.iter().map(String::as_str).collect();
                host.lose_under(300 + 300 * round, digest, &names, &names[..1]);
            }
            let verdict = host.verdict(1_300, digest);
            seen.push(format!(
                "{chain} of {known_servers}, {others} others: {verdict}"
            ));
        }
    }
    insta::assert_snapshot!(seen.join("\n"), @r"
    8 of 16, 0 others: stop
    8 of 16, 1 others: trial
    8 of 16, 2 others: trial
    2 of 16, 0 others: stop
    2 of 16, 1 others: stop
    2 of 16, 2 others: stop
    5 of 40, 0 others: stop
    5 of 40, 1 others: stop
    5 of 40, 2 others: stop
    10 of 100, 0 others: stop
    10 of 100, 1 others: stop
    10 of 100, 2 others: stop
    ");
}

/// Guards against two requests that end servers at the same time and excuse each other.
#[test]
fn two_requests_that_end_servers_are_both_stopped() {
    let mut host = TestHost::new(1);
    let (first, second) = (request("first"), request("second"));
    for round in 0..3_u64 {
        let millis = round * 300;
        host.lose_under(
            millis,
            first,
            &[&format!("a-{round}"), "x"],
            &[&format!("a-{round}")],
        );
        host.lose_under(
            millis + 100,
            second,
            &[&format!("b-{round}"), "x"],
            &[&format!("b-{round}")],
        );
    }
    assert_eq!(host.verdict(1_000, first), "stop");
    assert_eq!(host.verdict(1_000, second), "stop");
}

/// Guards against a frequent sound request that is stopped for an hour because all servers, each of which
/// had it, ended at once for another reason.
#[test]
fn a_request_with_a_recent_whole_answer_is_not_stopped() {
    let mut seen = Vec::new();
    for ends_after in [1_000, 30_000, 70_000] {
        let mut host = TestHost::new(1);
        let digest = request("lookup");
        let answered = host.send(0, digest, &["a"]);
        host.table.end_send(at(20), answered, SendEnd::Answered);
        for other in 0..500_u64 {
            let key = host.send(100, request(&format!("{other}")), &["a"]);
            host.table.end_send(at(120), key, SendEnd::Answered);
        }
        host.table.tick(at(ends_after));
        for name in ["a", "b", "c"] {
            host.lose_under(ends_after, digest, &[name], &[name]);
        }
        seen.push(host.verdict(ends_after + 100, digest));
    }
    assert_eq!(seen, ["send", "send", "stop"]);
}

/// Guards against a request that stays suspected at other hosts although a whole answer to it came.
#[test]
fn a_whole_answer_clears_a_request_at_all_hosts() {
    let (mut entry, mut keeper) = (TestHost::new(1), TestHost::new(2));
    let digest = request("lookup");
    for name in ["a", "b"] {
        entry.lose_under(0, digest, &[name], &[name]);
    }
    entry.tell(100, &mut keeper);
    assert_eq!(keeper.verdict(100, digest), "trial");
    let answered = entry.send(200, digest, &["c"]);
    entry.table.end_send(at(300), answered, SendEnd::Answered);
    entry.tell(320, &mut keeper);
    entry.lose_under(400, digest, &["d"], &["d"]);
    entry.tell(500, &mut keeper);
    assert_eq!(entry.verdict(500, digest), "send");
    assert_eq!(keeper.verdict(500, digest), "send");
}

/// Guards against callers that come at several hosts: each host knows the ends at the others.
#[test]
fn ends_at_other_hosts_count() {
    let mut keeper = TestHost::new(9);
    let digest = request("bad");
    for (index, name) in ["a", "b", "c"].into_iter().enumerate() {
        let mut entry = TestHost::new(index as u64);
        entry.lose_under(300 * index as u64, digest, &[name, "x"], &[name]);
        entry.tell(300 * index as u64 + 60, &mut keeper);
    }
    assert_eq!(keeper.verdict(1_000, digest), "stop");
    let mut restarted = TestHost::new(5);
    let notice = keeper.table.full_notice(at(1_000));
    restarted.table.merge(at(1_000), notice, true);
    assert_eq!(restarted.verdict(1_000, digest), "stop");
    let later = 1_000 + 3_600_000;
    restarted.table.tick(at(later));
    assert_eq!(restarted.verdict(later, digest), "send");
}

/// Guards against a request that is sent by several hosts at once after two servers have ended under it.
#[test]
fn a_request_with_two_ends_is_sent_by_one_host_at_a_time() {
    let (mut one, mut other) = (TestHost::new(1), TestHost::new(2));
    let digest = request("bad");
    for (millis, name) in [(0, "a"), (300, "b")] {
        one.lose_under(millis, digest, &[name], &[name]);
    }
    one.tell(400, &mut other);
    let first = one.send(500, digest, &["c"]);
    let second = other.send(510, digest, &["d"]);
    one.tell(520, &mut other);
    other.tell(520, &mut one);
    assert!(one.table.has_turn(first));
    assert!(!other.table.has_turn(second));
    other.table.end_send(at(550), second, SendEnd::NotTaken);
    assert_eq!(other.verdict(600, digest), "wait");
    one.table.end_send(at(700), first, SendEnd::NotTaken);
    one.tell(720, &mut other);
    assert_eq!(other.verdict(720, digest), "trial");
}

/// Guards against an end that is forgotten with the host that had sent the request: other hosts know of the
/// send, and learn of the end of its server by themselves.
#[test]
fn an_end_counts_though_its_host_was_killed() {
    let (mut killed, mut other) = (TestHost::new(1), TestHost::new(2));
    let digest = request("bad");
    for (millis, name) in [(0, "a"), (300, "b")] {
        killed.lose_under(millis, digest, &[name], &[name]);
    }
    killed.send(600, digest, &["c", "x"]);
    killed.tell(610, &mut other);
    drop(killed);
    other.lose(700, "c");
    assert_eq!(other.verdict(800, digest), "stop");
}

/// Guards against sound requests that are stopped because an overloaded host takes slow servers for ended
/// ones, and against a request that goes on to further servers while its silent ones may have ended.
#[test]
fn a_silent_server_has_ended_once_the_keepers_find_it_silent_too() {
    const NAMES: [&str; 3] = ["a", "b", "c"];
    /// Servers that answer the keepers, and servers that do not.
    type Found = (&'static [&'static str], &'static [&'static str]);
    let cases: [(&str, Found); 6] = [
        ("not probed yet", (&[], &[])),
        ("one answers", (&["a"], &[])),
        ("all answer", (&NAMES, &[])),
        ("two have ended", (&["a"], &["b", "c"])),
        ("all have ended", (&[], &NAMES)),
        (
            "all have ended, and others have their addresses",
            (&NAMES, &NAMES),
        ),
    ];
    let mut seen = Vec::new();
    for (name, (answering, ended)) in cases {
        let (mut host, mut keeper) = (TestHost::new(1), TestHost::new(2));
        let digest = request("slow");
        for (index, server) in NAMES.into_iter().enumerate() {
            let millis = 100 * index as u64;
            let key = host.send(millis, digest, &[server, "x"]);
            host.lose_as(millis + 50, server, LossKind::Silent);
            host.table.end_send(at(millis + 60), key, SendEnd::Broken);
        }
        let before = host.verdict(400, digest);
        host.tell(400, &mut keeper);
        ended.iter().for_each(|server| host.lose(1_000, server));
        for server in answering {
            host.table.record_answer(at(1_100), &self::server(server));
        }
        host.tell(1_200, &mut keeper);
        seen.push(format!(
            "{name}: {before}, then {}, at another host {}",
            host.verdict(1_300, digest),
            keeper.verdict(1_300, digest)
        ));
    }
    insta::assert_snapshot!(seen.join("\n"), @r"
    not probed yet: wait, then wait, at another host wait
    one answers: wait, then trial, at another host trial
    all answer: wait, then send, at another host send
    two have ended: wait, then trial, at another host trial
    all have ended: wait, then stop, at another host stop
    all have ended, and others have their addresses: wait, then stop, at another host stop
    ");
}

/// Guards against a request that is stopped long after a silent server had answered, by a notice that was
/// sent before, and against a server that falls silent after it has answered.
#[test]
fn an_answer_counts_for_the_silence_before_it() {
    let mut host = TestHost::new(1);
    let digest = request("slow");
    host.send(0, digest, &["a", "x"]);
    host.lose_as(50, "a", LossKind::Silent);
    let late = host.table.take_changes(at(60), NoticeAudience::Keepers);
    host.table.record_answer(at(500), &server("a"));
    host.table.merge(at(600), late, false);
    assert!(host.table.silent_servers().is_empty());
    host.lose_as(1_900, "a", LossKind::Silent);
    assert_eq!(host.table.silent_servers().len(), 1);
}

/// Guards against an end that is taken back because the next process at the address of the server answers.
#[test]
fn an_answer_at_the_address_of_a_server_that_is_gone_proves_nothing() {
    let mut host = TestHost::new(1);
    let digest = request("bad");
    host.lose_under(0, digest, &["a", "x"], &["a"]);
    host.table.record_answer(at(1_000), &server("a"));
    assert_eq!(host.verdict(1_100, digest), "trial");
}

/// Guards against the end of a server that is not counted because a host that was cut off from it had
/// recorded it before.
#[test]
fn a_server_may_end_after_a_host_was_cut_off_from_it() {
    let mut host = TestHost::new(1);
    let digest = request("bad");
    host.lose(0, "a");
    host.lose_under(60_000, digest, &["a", "x"], &["a"]);
    assert_eq!(host.verdict(60_100, digest), "trial");
}

/// Guards against an end that counts for requests which the server no longer had.
#[test]
fn only_requests_on_the_server_count() {
    let mut host = TestHost::new(1);
    let (answered, declined, broken) = (request("1"), request("2"), request("3"));
    let mut key = host.send(0, answered, &["a"]);
    host.table.end_send(at(100), key, SendEnd::Answered);
    key = host.send(0, declined, &["a"]);
    host.table.end_send(at(100), key, SendEnd::NotTaken);
    key = host.send(0, broken, &["a"]);
    host.table.end_send(at(100), key, SendEnd::Broken);
    let long_ago = request("4");
    key = host.send(0, long_ago, &["b"]);
    host.table.end_send(at(100), key, SendEnd::Broken);
    host.lose(300, "a");
    host.lose(5_000, "b");
    let verdicts = [answered, declined, broken, long_ago].map(|digest| host.verdict(300, digest));
    assert_eq!(verdicts, ["send", "send", "trial", "send"]);
}

/// Guards against a flood of requests that each ended one server, which must not push out one that ended
/// two, or grow without bound.
#[test]
fn a_flood_of_single_ends_is_bounded_and_keeps_repeated_ones() {
    let mut host = TestHost::new(1);
    let digest = request("bad");
    host.lose_under(0, digest, &["a"], &["a"]);
    host.lose_under(300, digest, &["b"], &["b"]);
    for number in 0..2_000_u64 {
        let name = format!("flood-{number}");
        host.lose_under(10_000 + number * 20, request(&name), &[&name], &[&name]);
    }
    host.lose_under(60_000, digest, &["c"], &["c"]);
    assert_eq!(host.verdict(61_000, digest), "stop");
    assert!(host.table.dump(at(61_000)).losses <= PoisonSettings::default().max_losses);
}

/// Guards against notices that change something when they come twice or late.
#[test]
fn notices_may_come_twice_and_in_any_order() {
    let digest = request("bad");
    let mut entry = TestHost::new(1);
    let mut notices = Vec::new();
    for (millis, name) in [(0, "a"), (300, "b"), (600, "c")] {
        let key = entry.send(millis, digest, &[name]);
        entry.lose(millis + 45, name);
        notices.push(
            entry
                .table
                .take_changes(at(millis + 45), NoticeAudience::Keepers),
        );
        entry.table.end_send(at(millis + 50), key, SendEnd::Broken);
        notices.push(
            entry
                .table
                .take_changes(at(millis + 50), NoticeAudience::Keepers),
        );
    }
    let mut other = TestHost::new(2);
    for notice in notices.iter().rev().chain(&notices) {
        other.table.merge(at(1_000), notice.clone(), false);
    }
    assert_eq!(other.verdict(1_000, digest), "stop");
    let under_way = other
        .table
        .verdict(at(1_000), request("sound"), RunNumber(7));
    assert_eq!(name_of(&under_way), "send");
}
