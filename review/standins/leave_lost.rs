//! A daemon acknowledges that a server is gone, and is killed right after it.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::hosts::{Cluster, ZONES};
use crate::http::call;
use crate::readers::Readers;
use crate::servers::{Fleet, Server, document};
use crate::{Outcome, Stage};

/// Bounds of the sheet, in seconds.
const DRAIN_S: f64 = 2.0;
const CONTACT_S: f64 = 3.0;
/// How long the killed daemon is down, in seconds: `for_s` of `node_kill` on the core in the site file.
const DOWN_S: f64 = 3.5;
/// Margin of the times that this process measures, in seconds.
const MARGIN_S: f64 = 0.1;
const CLIENTS: u64 = 9;

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
        let offer = ("portail", "", ZONES[usize::from(number) % 3]);
        Server::start(
            &fleet,
            &format!("i-server-{number}"),
            offer,
            address,
            &cluster.controls(),
        )
    };
    let servers: Vec<Arc<Server>> = (1..=3).map(start).collect();
    if !cluster.wait_ready(Duration::from_secs(10)) {
        return Outcome::CouldNotRun("not all entries became ready".to_owned());
    }
    let readers = Readers::start(&cluster, CLIENTS, record);
    // Longer than `contactMs`, so that all machines are in touch.
    thread::sleep(Duration::from_secs(8));
    let leaving = &servers[0];
    if leaving.runs.lock().unwrap().is_empty() {
        readers.stop();
        return Outcome::CouldNotRun("the server got no requests before its leave".to_owned());
    }
    let keeper = &cluster.keepers[cluster.keepers.len() - 1];
    leaving.beats.store(false, Ordering::SeqCst);
    leaving.leaving.store(true, Ordering::SeqCst);
    let path = format!("/pollendrift/instances/{}", leaving.id);
    let control = keeper.control();
    let answer = call(control, "DELETE", &path, &[], "", Duration::from_secs(1));
    let acknowledged = record.now();
    let status = answer.map(|answer| answer.status()).unwrap_or(0);
    if stage.has_trouble {
        keeper.kill();
    }
    let killed = record.now();
    record.say(&format!(
        "DELETE of {} at {}: {status}",
        leaving.id, keeper.name
    ));
    if status != 200 {
        readers.stop();
        return Outcome::CouldNotRun("the leave was not acknowledged".to_owned());
    }
    if stage.has_trouble {
        record.say(&format!(
            "{} killed {:.4} s after it",
            keeper.name,
            killed - acknowledged
        ));
    }
    thread::sleep(Duration::from_secs_f64(DOWN_S) + Duration::from_millis(200));
    if stage.has_trouble {
        keeper.start();
        record.say(&format!("{} started again", keeper.name));
    }
    thread::sleep(Duration::from_secs(2));
    let answers = readers.stop();
    let served = answers.iter().filter(|answer| answer.status == 200).count();
    // Machines are in touch from `contactMs` after the kill until the start.
    let from =
        acknowledged + DRAIN_S.max(if stage.has_trouble { CONTACT_S } else { 0.0 }) + MARGIN_S;
    let to = acknowledged + DOWN_S;
    let runs = leaving.runs.lock().unwrap();
    let late: Vec<_> = runs
        .iter()
        .filter(|(at, _)| (from..to).contains(at))
        .collect();
    let last = runs.last().map_or(0.0, |(at, _)| at - acknowledged);
    record.say(&format!("{} requests served in all", served));
    record.say(&format!(
        "the last request ran at {} {last:.3} s after the acknowledgement",
        leaving.id
    ));
    record.say(&format!(
        "{} requests ran there from {:.1} s to {DOWN_S:.1} s after it, at machines in touch",
        late.len(),
        from - acknowledged,
    ));
    if late.is_empty() {
        Outcome::Held
    } else {
        Outcome::Broken
    }
}
