//! Heartbeats of another writer arrive after all processes were killed and are back.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::hosts::{Cluster, Host, ZONES};
use crate::http::call;
use crate::readers::{ReadAnswer, Readers};
use crate::servers::{Fleet, Server, document};
use crate::{Outcome, Stage};

/// Bound of the sheet, in seconds.
const RECOVER_S: f64 = 12.0;
/// How long the processes are down: `closing = { kind = "kill_all", down_s = 0.91 }` of the site file.
const DOWN: Duration = Duration::from_millis(910);
/// Time from the start of the processes to the heartbeats of the other writer.
const STRAY_DELAY: Duration = Duration::from_secs(4);
/// Time after `recoverS` for which requests are counted, in seconds.
const COUNTED_S: f64 = 10.0;
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
        let id = format!("i-server-{number}");
        Server::start(&fleet, &id, offer, address, &cluster.controls())
    };
    let servers: Vec<Arc<Server>> = (1..=3).map(start).collect();
    if !cluster.wait_ready(Duration::from_secs(10)) {
        return Outcome::CouldNotRun("not all entries became ready".to_owned());
    }
    let readers = Readers::start(&cluster, CLIENTS, record);
    let began = record.now();
    thread::sleep(Duration::from_secs(8));
    let fault = record.now();
    let hosts = || cluster.keepers.iter().chain(&cluster.entries);
    hosts().for_each(Host::kill);
    thread::sleep(DOWN);
    hosts().for_each(Host::start);
    let back = record.now();
    record.say("all processes were killed and are back");
    thread::sleep(STRAY_DELAY);
    if stage.has_trouble {
        for server in &servers {
            let status = send_stray(&cluster, server);
            record.say(&format!(
                "heartbeat of another writer for {}, of a service without a name here: {status}",
                server.id
            ));
        }
    }
    let until = back + RECOVER_S + COUNTED_S - record.now();
    thread::sleep(Duration::from_secs_f64(until));
    let answers = readers.stop();
    let before = share(&answers, began, fault);
    let after = share(&answers, back + RECOVER_S, back + RECOVER_S + COUNTED_S);
    record.say(&format!(
        "before the final fault {before:.3} of the requests were served"
    ));
    record.say(&format!(
        "of those sent later than {RECOVER_S} s after the machines are back {after:.3}"
    ));
    if before < 0.25 {
        return Outcome::CouldNotRun("most requests were not served at first".to_owned());
    }
    if after < 0.25 {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}

/// Share of the requests sent from `from` to `to` that were served.
fn share(answers: &[ReadAnswer], from: f64, to: f64) -> f64 {
    let sent = answers
        .iter()
        .filter(|answer| (from..to).contains(&answer.sent));
    let sent: Vec<_> = sent.collect();
    let served = sent.iter().filter(|answer| answer.status == 200).count();
    served as f64 / sent.len().max(1) as f64
}

/// Sends one heartbeat under the id of `server` with a service that the configuration does not name, as
/// a process of another deployment would that has just started. Returns the status of the answer.
fn send_stray(cluster: &Cluster, server: &Server) -> u16 {
    let born = SystemTime::now().duration_since(UNIX_EPOCH);
    let born = born.expect("a time").as_millis();
    let body = format!(
        "{{\"service\":\"archive\",\"address\":\"{}:8081\",\"zone\":\"{}\",\"version\":\"v1\",\
         \"slots\":6,\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":1,\"born\":{born}}}",
        server.address.ip(),
        ZONES[0],
    );
    let path = format!("/pollendrift/instances/{}", server.id);
    let headers = [("Content-Type", "application/json")];
    for control in cluster.controls() {
        let answer = call(
            control,
            "PUT",
            &path,
            &headers,
            &body,
            Duration::from_secs(1),
        );
        let status = answer.map(|answer| answer.status()).unwrap_or(0);
        if (200..500).contains(&status) {
            return status;
        }
    }
    0
}
