//! The cases that are scripts.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::cluster::Cluster;
use crate::engine::wall_millis;
use crate::http;

/// Bounds of the small deployments' sheets.
const ROLLBACK_SLACK_MS: u64 = 250;
const CONTACT_TIME: Duration = Duration::from_secs(3);
const ACK_TIME: Duration = Duration::from_secs(4);
/// Client's deadline of a filing.
const DEADLINE: Duration = Duration::from_millis(1_500);
const KEY: &str = "n2ctnfzs989anu6wsjnb";

/// Whether the disruption is played.
fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// A configuration whose filings go to `service`.
fn document(version: u64, service: &str) -> String {
    let route = |name: &str, path: &str, kind: &str, attempts: u32| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"desk.example\",\"pathPrefix\":\"/{path}/\",\"kind\":\"{kind}\",\
             \"timeoutMs\":1500,\"targetLatencyMs\":100,\"priority\":2,\"service\":\"{service}\",\
             \"maxAttempts\":{attempts},\"public\":false}}"
        )
    };
    let offer = |name: &str| {
        format!(
            "{{\"name\":\"{name}\",\"healthPath\":\"/healthz\",\"maxConnections\":110,\
             \"protocol\":\"h1\",\"tls\":false}}"
        )
    };
    format!(
        "{{\"version\":{version},\"routes\":[{},{}],\"services\":[{},{}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}},\"tenants\":[{{\"name\":\"hule930\",\"apiKeys\":[\"{KEY}\"]}}]}}",
        route("r-file", "file", "non_idempotent", 1),
        route("r-read", "read", "idempotent", 2),
        offer("desk-old"),
        offer("desk-new"),
    )
}

/// A request as its client saw it.
#[derive(Clone)]
struct Sent {
    attempt: String,
    front: usize,
    sent_ms: u64,
    outcome: String,
}

/// Sends one filing and records its outcome.
fn file(address: SocketAddr, front: usize, number: usize, sent: &Mutex<Vec<Sent>>) -> Option<u16> {
    let attempt = format!("a{:04}f{front}", number);
    let deadline = DEADLINE.as_millis().to_string();
    let key = format!("Bearer {KEY}");
    let fields = [
        ("Host", "desk.example"),
        ("Attempt-Id", attempt.as_str()),
        ("Deadline-Ms", deadline.as_str()),
        ("Authorization", key.as_str()),
    ];
    let sent_ms = wall_millis();
    let path = format!("/file/{number}");
    let body = format!("attestation {number}");
    let answer = http::call(address, ("POST", &path), &fields, &body, DEADLINE);
    let (status, outcome) = match answer {
        Ok(answer) => (Some(answer.status), format!("{} {}", answer.status, answer.body.trim_end())),
        Err(reason) => (None, format!("no answer: {reason}")),
    };
    let request = Sent {
        attempt,
        front,
        sent_ms,
        outcome,
    };
    sent.lock().expect("unpoisoned").push(request);
    status
}

/// Waits until filings at a front are answered with success.
fn await_service(cluster: &mut Cluster, front: usize, numbers: &mut usize) -> Result<(), String> {
    let began = Instant::now();
    let ignored = Mutex::default();
    while began.elapsed() < Duration::from_secs(20) {
        *numbers += 1;
        if file(cluster.front(front), front, *numbers, &ignored) == Some(200) {
            return Ok(());
        }
        thread::sleep(Duration::from_millis(100));
    }
    Err(format!("front {} serves nothing before the disruption", front + 1))
}

/// A front machine stands still for less than a second while filings move from an old service to a
/// new one, whose only engine then crashes. Filings that clients send to another front, which already
/// routes by the new configuration, must not run at the old service.
pub fn old_service(folder: &str) -> Result<bool, String> {
    const FRONTS: usize = 9;
    const FROZEN: usize = 1;
    let mut cluster = Cluster::new(folder, 5, FRONTS)?;
    cluster.start()?;
    for _ in 0..3 {
        cluster.start_engine("desk-old")?;
    }
    cluster.start_engine("desk-new")?;
    let new_engine = cluster.engines.len() - 1;
    if cluster.publish(&document(1, "desk-old"), Duration::from_secs(15))? != Some(200) {
        return Err("the first configuration is not acknowledged".to_owned());
    }
    cluster.bootstrap = false;
    let mut number = 0;
    for front in 0..FRONTS {
        await_service(&mut cluster, front, &mut number)?;
    }
    // All machines are in touch, and the engines' leases are known everywhere.
    thread::sleep(CONTACT_TIME + Duration::from_secs(1));
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    if has_trouble() {
        cluster.fronts[FROZEN].signal("STOP");
        cluster.note("front-2 frozen");
    }
    let frozen_at = Instant::now();
    if cluster.publish(&document(2, "desk-new"), Duration::from_secs(2))? != Some(200) {
        return Err("the second configuration is not acknowledged".to_owned());
    }
    let after = |millis| Duration::from_millis(millis);
    let mut clients = Vec::new();
    let (mut is_crashed, mut is_thawed) = (false, false);
    while frozen_at.elapsed() < after(1_500) {
        let elapsed = frozen_at.elapsed();
        if has_trouble() && !is_crashed && elapsed >= after(550) {
            cluster.kill_engine(new_engine);
            is_crashed = true;
        }
        if has_trouble() && !is_thawed && elapsed >= after(900) {
            cluster.fronts[FROZEN].signal("CONT");
            cluster.note("front-2 thawed");
            is_thawed = true;
        }
        number += 1;
        let (address, numbered, seen) = (cluster.front(0), number, Arc::clone(&sent));
        clients.push(thread::spawn(move || file(address, 0, numbered, &seen)));
        thread::sleep(after(30));
    }
    for client in clients {
        let _ = client.join();
    }
    if !cluster.fronts[0].is_running() {
        return Err("front-1 ended by itself".to_owned());
    }
    judge_old_service(&mut cluster, &sent.lock().expect("unpoisoned"))
}

/// CONFIG: a request that a machine was sent more than `rollbackSlackMs` after an engine saw the effect
/// of a version is not handled as only an older version allows.
fn judge_old_service(cluster: &mut Cluster, sent: &[Sent]) -> Result<bool, String> {
    let runs = cluster.read_runs();
    let mut runs_of: BTreeMap<&str, Vec<(u64, &str)>> = BTreeMap::new();
    for run in &runs {
        if let [time, service, _, attempt, ..] = run.as_slice() {
            let time = time.parse().unwrap_or(0);
            runs_of.entry(attempt).or_default().push((time, service));
        }
    }
    let of = |request: &Sent| runs_of.get(request.attempt.as_str()).cloned().unwrap_or_default();
    let effects = sent.iter().flat_map(|request| of(request));
    let effect = effects.filter(|(_, service)| *service == "desk-new").map(|(time, _)| time).min();
    let effect = effect.ok_or("no engine saw the effect of the second configuration")?;
    let mut broken = 0;
    let mut sent = sent.to_vec();
    sent.sort_by_key(|request| request.sent_ms);
    for request in &sent {
        let ran = of(request);
        let at: Vec<&str> = ran.iter().map(|(_, service)| *service).collect();
        let since = request.sent_ms as i64 - effect as i64;
        let is_broken = since > ROLLBACK_SLACK_MS as i64 && at.contains(&"desk-old");
        broken += usize::from(is_broken);
        cluster.note(&format!(
            "{} sent to front-{} {since:+} ms after the effect of version 2, ran at {at:?}, answered {}{}",
            request.attempt,
            request.front + 1,
            request.outcome,
            if is_broken { "  <- BROKEN" } else { "" }
        ));
    }
    cluster.note(&format!("{broken} filings ran at the old service too late"));
    println!("{broken} of {} filings ran at the old service too late", sent.len());
    Ok(broken == 0)
}

/// The first of the seed machines is killed a moment after the first start of the whole system and
/// restarted a second later. The first configuration must be acknowledged once the core is stable.
pub fn founder_restart(folder: &str) -> Result<bool, String> {
    const LIMIT: Duration = Duration::from_secs(60);
    let mut cluster = Cluster::new(folder, 5, 3)?;
    cluster.start()?;
    cluster.bootstrap = false;
    if has_trouble() {
        thread::sleep(Duration::from_millis(100));
        cluster.core[0].kill();
        cluster.note("core-1 killed");
        thread::sleep(Duration::from_secs(1));
        cluster.start_core(0)?;
        cluster.note("core-1 restarted, with bootstrap = false as the system has started before");
    }
    cluster.start_engine("desk-old")?;
    cluster.start_engine("desk-new")?;
    thread::sleep(CONTACT_TIME);
    cluster.note("the core is stable from here on");
    let began = Instant::now();
    let status = cluster.publish(&document(1, "desk-old"), LIMIT)?;
    let took = began.elapsed();
    let sent = Mutex::default();
    let mut served = false;
    for number in 0..5 {
        served |= file(cluster.front(number % 3), number % 3, number, &sent) == Some(200);
        thread::sleep(Duration::from_millis(400));
    }
    for request in sent.lock().expect("unpoisoned").iter() {
        cluster.note(&format!("{} to front-{}: {}", request.attempt, request.front + 1, request.outcome));
    }
    let are_running = (0..5).all(|index| cluster.core[index].is_running());
    if !are_running {
        return Err("a machine of the core ended by itself".to_owned());
    }
    let is_acknowledged = status == Some(200) && took <= ACK_TIME;
    cluster.note(&format!("acknowledged {is_acknowledged} after {:.1} s, served {served}", took.as_secs_f64()));
    println!("acknowledged {is_acknowledged} after {:.1} s, served {served}", took.as_secs_f64());
    Ok(is_acknowledged && served)
}
