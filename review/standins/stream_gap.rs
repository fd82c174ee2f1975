//! A model engine spoils one event of a stream that may be resumed.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::hosts::{Cluster, ZONES};
use crate::http::{Connection, request};
use crate::record::Record;
use crate::servers::{EVENTS, Fleet, HOST, KEY, LAYERS, Server, document, event};
use crate::{Outcome, Stage};

const STREAMS: u64 = 800;
/// 62.5 streams a second; the sheet has 63.4.
const STREAM_GAP: Duration = Duration::from_millis(16);
/// When the engine begins to spoil answers, after the first request.
const SPOIL_DELAY: Duration = Duration::from_secs(3);
/// How long it spoils answers; `for_s` of `garble` in the site file is up to 6.38.
const SPOIL_TIME: Duration = Duration::from_secs(6);
/// A faulty engine spoils one of 50 answers, x = 0.02.
const SPOIL_EVERY: u64 = 50;

/// How a stream ended for its client.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
enum StreamEnd {
    Whole,
    /// It ended as complete, or went on, without a piece.
    PieceMissing,
    /// A piece came twice, or with other bytes than the engine's.
    PieceWrong,
    /// It broke off and did not look complete.
    BrokenOff,
    Refused(u16),
}

pub fn play(stage: &Stage) -> Outcome {
    let record = &stage.record;
    let cluster = Cluster::start(&stage.folder, 5, 3);
    if !cluster.publish(&document(1), Duration::from_secs(10)) {
        return Outcome::CouldNotRun("no keeper acknowledged the configuration".to_owned());
    }
    let fleet = Fleet {
        layers: Arc::default(),
        running: Arc::default(),
        record: Arc::clone(record),
    };
    let start = |number: u8| {
        let address = (cluster.server_ip(number), 8080).into();
        let offer = ("redac", "h100", ZONES[0]);
        Server::start(
            &fleet,
            &format!("i-engine-{number}"),
            offer,
            address,
            &cluster.controls(),
        )
    };
    let engines: Vec<Arc<Server>> = (1..=6).map(start).collect();
    if !cluster.wait_ready(Duration::from_secs(10)) {
        return Outcome::CouldNotRun("not all entries became ready".to_owned());
    }
    let Some(faulty) = wait_for_layers(&fleet, &engines) else {
        return Outcome::CouldNotRun("the engines did not get all layers".to_owned());
    };
    thread::sleep(Duration::from_secs(2));
    if stage.has_trouble {
        let (faulty, record) = (Arc::clone(&faulty), Arc::clone(record));
        thread::spawn(move || {
            thread::sleep(SPOIL_DELAY);
            faulty.streams.store(0, Ordering::SeqCst);
            faulty.spoil_every.store(SPOIL_EVERY, Ordering::SeqCst);
            record.say(&format!(
                "{} spoils one of {SPOIL_EVERY} answers",
                faulty.id
            ));
            thread::sleep(SPOIL_TIME);
            faulty.spoil_every.store(0, Ordering::SeqCst);
            let streams = faulty.streams.load(Ordering::SeqCst);
            record.say(&format!("and no longer, after {streams} answers"));
        });
    }
    let ends: Arc<Mutex<BTreeMap<StreamEnd, u64>>> = Arc::default();
    let clients: Vec<_> = (0..STREAMS)
        .map(|number| {
            thread::sleep(STREAM_GAP);
            let front = cluster.entries[number as usize % 3].front();
            let (ends, record) = (Arc::clone(&ends), Arc::clone(record));
            thread::spawn(move || {
                let attempt = format!("{:016x}", 0x9c41_0000_u64 + number);
                let end = read_stream(front, &attempt, &record);
                *ends.lock().unwrap().entry(end).or_insert(0) += 1;
            })
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    let ends = ends.lock().unwrap();
    let spoiled: u64 = engines
        .iter()
        .map(|engine| engine.spoiled.load(Ordering::SeqCst))
        .sum();
    record.say(&format!(
        "{STREAMS} streams, {spoiled} of them spoiled by an engine"
    ));
    for (end, count) in ends.iter() {
        record.say(&format!("  {end:?}: {count}"));
    }
    let count = |end: StreamEnd| ends.get(&end).copied().unwrap_or(0);
    if count(StreamEnd::PieceMissing) + count(StreamEnd::PieceWrong) > 0 {
        return Outcome::Broken;
    }
    if stage.has_trouble && spoiled == 0 {
        return Outcome::CouldNotRun("no stream was spoiled".to_owned());
    }
    if count(StreamEnd::Whole) < STREAMS / 2 {
        return Outcome::CouldNotRun("most streams were not served".to_owned());
    }
    Outcome::Held
}

/// Waits until each layer is held by two engines; returns one that holds the first layer.
fn wait_for_layers(fleet: &Fleet, engines: &[Arc<Server>]) -> Option<Arc<Server>> {
    for _ in 0..50 {
        thread::sleep(Duration::from_millis(200));
        let layers = fleet.layers.lock().unwrap();
        let holders = |layer| {
            layers
                .values()
                .filter(|held| held.0 <= layer && layer < held.1)
                .count()
        };
        if (0..LAYERS).all(|layer| holders(layer) >= 2) {
            let is_first = |engine: &&Arc<Server>| {
                layers
                    .get(&engine.address.to_string())
                    .is_some_and(|held| held.0 == 0)
            };
            return engines.iter().find(is_first).cloned();
        }
    }
    None
}

/// Sends a request and compares each piece of the answer with what the engines write.
fn read_stream(front: SocketAddr, attempt: &str, record: &Record) -> StreamEnd {
    let mut pieces = String::new();
    let end = match receive(front, attempt, &mut pieces) {
        Ok(status) if status != 200 => StreamEnd::Refused(status),
        Ok(_) => check_pieces(attempt, &pieces, true),
        Err(_) => check_pieces(attempt, &pieces, false),
    };
    let ids: Vec<&str> = pieces
        .lines()
        .filter_map(|line| line.strip_prefix("id: "))
        .collect();
    record.line(&format!(
        "client   {attempt} {end:?}, events {}",
        ids.join(" ")
    ));
    end
}

fn receive(front: SocketAddr, attempt: &str, pieces: &mut String) -> std::io::Result<u16> {
    let mut connection = Connection::open(front, Duration::from_secs(8))?;
    let key = format!("Bearer {KEY}");
    let prefix = format!("5c1e07a2:40,{attempt}:60");
    let headers = [
        ("Host", HOST),
        ("Attempt-Id", attempt),
        ("Model", "m0"),
        ("Token-Usage", "100,80"),
        ("Prompt-Prefix", &prefix),
        ("Deadline-Ms", "20000"),
        ("Authorization", &key),
    ];
    connection.write(&request(front, "POST", "/draft/1", &headers, "a prompt"))?;
    let head = connection.read_head()?;
    let mut head = head.ok_or_else(|| std::io::Error::from(std::io::ErrorKind::UnexpectedEof))?;
    if head.status() != 200 {
        connection.read_body(&mut head)?;
        return Ok(head.status());
    }
    while let Some(chunk) = connection.read_chunk()? {
        pieces.push_str(&String::from_utf8_lossy(&chunk));
    }
    Ok(200)
}

fn check_pieces(attempt: &str, pieces: &str, is_complete: bool) -> StreamEnd {
    let mut next = 1;
    for piece in pieces
        .split_inclusive("\n\n")
        .filter(|piece| piece.ends_with("\n\n"))
    {
        if piece == event(attempt, next) {
            next += 1;
            continue;
        }
        let is_later = (next + 1..=EVENTS).any(|later| piece == event(attempt, later));
        return if is_later {
            StreamEnd::PieceMissing
        } else {
            StreamEnd::PieceWrong
        };
    }
    match (next > EVENTS, is_complete) {
        (true, true) => StreamEnd::Whole,
        (false, true) => StreamEnd::PieceMissing,
        (_, false) => StreamEnd::BrokenOff,
    }
}
