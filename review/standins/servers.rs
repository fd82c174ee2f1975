//! Stand-ins of engines and of plain servers, and the configuration that names their services.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Connection, Message, call, json_field};
use crate::record::Record;

pub const LAYERS: u32 = 80;
/// Events of a stream, and the time between two of them.
pub const EVENTS: u64 = 40;
const EVENT_GAP: Duration = Duration::from_millis(20);
/// `heartbeatMs` of the settings.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Loads before the first request take a tenth of `loadS`.
const LOAD_TIME: Duration = Duration::from_millis(700);

/// Memory of a card and of a layer of the sheet, in MB.
const CARD_MB: u64 = 72_000;
const LAYER_MB: u64 = 1_750;
/// `kvBytes` / `layers` of the configuration.
const KV_BYTES_PER_LAYER: u64 = 590_000 / 80;
/// Tokens of a stream's prompt and answer.
const STREAM_TOKENS: u64 = 180;

/// Layers that the engines of a case hold, by address.
type LayerMap = Arc<Mutex<BTreeMap<String, (u32, u32)>>>;

#[derive(Clone)]
pub struct Fleet {
    pub layers: LayerMap,
    /// Streams that run on each engine, as any part of their path.
    pub running: Arc<Mutex<BTreeMap<String, u64>>>,
    pub record: Arc<Record>,
}

/// One engine or plain server.
pub struct Server {
    pub id: String,
    service: &'static str,
    kind: &'static str,
    zone: &'static str,
    pub address: SocketAddr,
    born: u128,
    sequence: AtomicU64,
    orders: AtomicU64,
    fence: AtomicU64,
    busy_until: Mutex<Option<Instant>>,
    /// Attempts whose streams run here as the first engine.
    attempts: Mutex<BTreeSet<String>>,
    /// Whether the server has told that it leaves.
    pub leaving: AtomicBool,
    /// Whether the server sends heartbeats.
    pub beats: AtomicBool,
    /// Streams that began here, from the start of the spoiling on.
    pub streams: AtomicU64,
    /// Every how many streams one is spoiled; 0 for none.
    pub spoil_every: AtomicU64,
    pub spoiled: AtomicU64,
    /// Requests that ran here: time and attempt.
    pub runs: Mutex<Vec<(f64, String)>>,
    fleet: Fleet,
}

impl Server {
    pub fn start(
        fleet: &Fleet,
        id: &str,
        offer: (&'static str, &'static str, &'static str),
        address: SocketAddr,
        controls: &[SocketAddr],
    ) -> Arc<Self> {
        let (service, kind, zone) = offer;
        let listener = TcpListener::bind(address).expect("a free port");
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .expect("a time")
            .as_millis();
        let server = Arc::new(Self {
            id: id.to_owned(),
            service,
            kind,
            zone,
            address: listener.local_addr().expect("an address"),
            born,
            sequence: AtomicU64::new(0),
            orders: AtomicU64::new(0),
            fence: AtomicU64::new(0),
            busy_until: Mutex::new(None),
            attempts: Mutex::default(),
            leaving: AtomicBool::new(false),
            beats: AtomicBool::new(true),
            streams: AtomicU64::new(0),
            spoil_every: AtomicU64::new(0),
            spoiled: AtomicU64::new(0),
            runs: Mutex::default(),
            fleet: fleet.clone(),
        });
        let accepting = Arc::clone(&server);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = Arc::clone(&accepting);
                std::thread::spawn(move || {
                    // The other side closes its connections as it likes.
                    let _ = server.serve(Connection::new(stream));
                });
            }
        });
        let (beating, controls) = (Arc::clone(&server), controls.to_vec());
        std::thread::spawn(move || beating.send_heartbeats(&controls));
        server
    }

    fn layers(&self) -> Option<(u32, u32)> {
        self.fleet
            .layers
            .lock()
            .unwrap()
            .get(&self.address.to_string())
            .copied()
    }

    fn layers_json(&self) -> String {
        match self.layers() {
            Some((from, to)) => format!("{{\"from\":{from},\"to\":{to},\"version\":1}}"),
            None => "null".to_owned(),
        }
    }

    fn heartbeat(&self) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let head = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\
             \"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":{sequence},\"born\":{}",
            self.service,
            self.address,
            self.zone,
            if self.kind.is_empty() { 6 } else { 192 },
            self.born,
        );
        if self.kind.is_empty() {
            return format!("{head}}}");
        }
        format!(
            "{head},\"stage\":\"prefill_decode\",\"models\":[{{\"name\":\"m0\",\"version\":1,\
             \"adapters\":[]}}],\"kind\":\"{}\",\"layers\":{}}}",
            self.kind,
            self.layers_json(),
        )
    }

    /// Sends heartbeats to the address that the last acknowledgement named, else to the daemons that
    /// serve control in turn.
    fn send_heartbeats(&self, controls: &[SocketAddr]) {
        let mut index = self.id.bytes().map(usize::from).sum::<usize>();
        let mut named: Option<SocketAddr> = None;
        while self.beats.load(Ordering::SeqCst) {
            let target = named.unwrap_or(controls[index % controls.len()]);
            let path = format!("/pollendrift/instances/{}", self.id);
            let headers = [("Content-Type", "application/json")];
            let beat = self.heartbeat();
            let answer = call(
                target,
                "PUT",
                &path,
                &headers,
                &beat,
                Duration::from_secs(1),
            );
            let status = answer.as_ref().map_or(0, Message::status);
            let line = format!("beat     {} at {target}: {status}", self.id);
            self.fleet.record.line(&line);
            match answer {
                Ok(answer) if (200..300).contains(&answer.status()) => {
                    let body = String::from_utf8_lossy(&answer.body).into_owned();
                    let address = json_field(&body, "heartbeatAddress");
                    named = address.and_then(|address| address.parse().ok()).or(named);
                    std::thread::sleep(HEARTBEAT);
                }
                _ => {
                    named = None;
                    index += 1;
                }
            }
        }
    }

    fn serve(&self, mut connection: Connection) -> io::Result<()> {
        while let Some(mut request) = connection.read_head()? {
            connection.read_body(&mut request)?;
            let (method, path) = request.target();
            let (method, path) = (method.to_owned(), path.to_owned());
            match (method.as_str(), path.as_str()) {
                ("GET", "/healthz") => {
                    let head = format!("Instance-Id: {}\r\n", self.id);
                    let is_leaving = self.leaving.load(Ordering::SeqCst);
                    let status = if is_leaving { 503 } else { 200 };
                    connection.write(&answer(status, &head, ""))?;
                }
                ("GET", "/pollendrift/report") => {
                    connection.write(&answer(200, JSON, &self.report()))?;
                }
                ("POST", "/pollendrift/order") => {
                    let order = String::from_utf8_lossy(&request.body).into_owned();
                    let (status, body) = match json_field(&order, "operation") {
                        Some("repath") => self.take_repath(&order),
                        _ => (self.take_order(&order), "{}".to_owned()),
                    };
                    connection.write(&answer(status, JSON, &body))?;
                }
                _ if self.kind.is_empty() => self.run_call(&mut connection, &request)?,
                _ => self.run_stream(&mut connection, &request)?,
            }
        }
        Ok(())
    }

    fn is_busy(&self) -> bool {
        self.busy_until
            .lock()
            .unwrap()
            .is_some_and(|until| Instant::now() < until)
    }

    fn report(&self) -> String {
        let address = self.address.to_string();
        let running = self.fleet.running.lock().unwrap();
        let running = running.get(&address).copied().unwrap_or(0);
        let held = self.layers().map_or(0, |(from, to)| u64::from(to - from));
        let kv_total = (CARD_MB - held * LAYER_MB) * 1_000_000 / KV_BYTES_PER_LAYER;
        format!(
            "{{\"stage\":\"prefill_decode\",\"models\":[{{\"name\":\"m0\",\"version\":1,\"adapters\":[]}}],\
             \"busy\":{},\"sequence\":{},\"waiting\":0,\"running\":{running},\"kvUsed\":{},\"kvTotal\":{kv_total},\
             \"handles\":0,\"pace\":1.0,\"kind\":\"{}\",\"layers\":{},\"stalled\":[]}}",
            self.is_busy(),
            self.orders.load(Ordering::SeqCst),
            running * STREAM_TOKENS * held,
            self.kind,
            self.layers_json(),
        )
    }

    /// Answers an order to go on with a stream over another path, which changes nothing of it here.
    fn take_repath(&self, order: &str) -> (u16, String) {
        let attempt = json_field(order, "id").unwrap_or_default();
        if !self.attempts.lock().unwrap().contains(attempt) {
            return (404, "{}".to_owned());
        }
        let path = order.split_once("\"path\":\"").map_or("", |(_, rest)| rest);
        match self.broken_part(path.split('"').next().unwrap_or_default()) {
            Some(address) => (409, format!("{{\"address\":\"{address}\"}}")),
            None => (202, "{}".to_owned()),
        }
    }

    /// Carries out a `place` order after the time of the load.
    fn take_order(&self, order: &str) -> u16 {
        let number = |name: &str| json_field(order, name).and_then(|text| text.parse::<u64>().ok());
        if json_field(order, "operation") != Some("place") {
            return 400;
        }
        let fence = number("fencingToken").unwrap_or(0);
        if fence < self.fence.load(Ordering::SeqCst) {
            return 412;
        }
        let orders = self.orders.load(Ordering::SeqCst);
        if self.is_busy() || number("expected").is_some_and(|expected| expected != orders) {
            return 409;
        }
        let (Some(from), Some(to)) = (number("from"), number("to")) else {
            return 400;
        };
        let range = (from as u32, to as u32);
        self.fence.store(fence, Ordering::SeqCst);
        if self.layers() == Some(range) {
            return 200;
        }
        self.orders.fetch_add(1, Ordering::SeqCst);
        *self.busy_until.lock().unwrap() = Some(Instant::now() + LOAD_TIME);
        let (layers, address) = (Arc::clone(&self.fleet.layers), self.address.to_string());
        self.fleet.record.line(&format!(
            "order    {} holds layers {from}..{to} from now on",
            self.id
        ));
        std::thread::spawn(move || {
            std::thread::sleep(LOAD_TIME);
            layers.lock().unwrap().insert(address, range);
        });
        202
    }

    fn attempt(&self, request: &Message) -> String {
        request.header("attempt-id").unwrap_or("").to_owned()
    }

    fn is_expected(&self, request: &Message) -> bool {
        request
            .header("expect-instance")
            .is_none_or(|id| id == self.id)
    }

    fn record_run(&self, attempt: &str) {
        let at = self.fleet.record.now();
        self.runs.lock().unwrap().push((at, attempt.to_owned()));
    }

    fn run_call(&self, connection: &mut Connection, request: &Message) -> io::Result<()> {
        let attempt = self.attempt(request);
        if !self.is_expected(request) {
            return connection.write(&answer(421, &format!("Attempt-Id: {attempt}\r\n"), ""));
        }
        self.record_run(&attempt);
        self.fleet
            .record
            .line(&format!("runs     {attempt} at {}", self.id));
        std::thread::sleep(Duration::from_millis(15));
        let head = format!(
            "Attempt-Id: {attempt}\r\nServer-Signature: sig-{}\r\nInstance-Load: 1,0,6\r\n",
            self.id
        );
        let body = format!("answer to {attempt}");
        if self.leaving.load(Ordering::SeqCst) {
            connection.write(&answer(200, &format!("{head}Connection: close\r\n"), &body))?;
            return Err(io::ErrorKind::Other.into());
        }
        connection.write(&answer(200, &head, &body))
    }

    /// Address of the first engine of the path that does not hold its part.
    fn broken_part(&self, path: &str) -> Option<String> {
        let layers = self.fleet.layers.lock().unwrap();
        let broken = path.split(',').find(|part| {
            let Some((address, range)) = part.split_once('=') else {
                return true;
            };
            let Some((from, to)) = range.split_once('-') else {
                return true;
            };
            let (Ok(from), Ok(to)) = (from.parse::<u32>(), to.parse::<u32>()) else {
                return true;
            };
            !layers
                .get(address)
                .is_some_and(|held| held.0 <= from && to <= held.1)
        });
        broken.map(|part| part.split('=').next().unwrap_or("").to_owned())
    }

    fn run_stream(&self, connection: &mut Connection, request: &Message) -> io::Result<()> {
        let attempt = self.attempt(request);
        let own = format!("{}=0-{LAYERS}", self.address);
        let path = request.header("hop-count").unwrap_or(&own);
        let broken = self.broken_part(path);
        if !self.is_expected(request) || broken.is_some() {
            let at = broken
                .map(|at| format!("At-Server: {at}\r\n"))
                .unwrap_or_default();
            let head = format!("Attempt-Id: {attempt}\r\n{at}");
            return connection.write(&answer(421, &head, ""));
        }
        let after: u64 = request
            .header("last-event-id")
            .and_then(|id| id.parse().ok())
            .unwrap_or(0);
        self.record_run(&attempt);
        self.fleet.record.line(&format!(
            "runs     {attempt} at {} after event {after}",
            self.id
        ));
        self.count_stream(path, &attempt, true);
        let result = self.write_events(connection, &attempt, after);
        self.count_stream(path, &attempt, false);
        result
    }

    /// Counts a stream on all engines of its path, or no longer.
    fn count_stream(&self, path: &str, attempt: &str, is_running: bool) {
        let mut attempts = self.attempts.lock().unwrap();
        if is_running {
            attempts.insert(attempt.to_owned());
        } else {
            attempts.remove(attempt);
        }
        let mut running = self.fleet.running.lock().unwrap();
        for part in path.split(',') {
            let address = part.split('=').next().unwrap_or_default();
            let count = running.entry(address.to_owned()).or_insert(0);
            *count = if is_running {
                *count + 1
            } else {
                count.saturating_sub(1)
            };
        }
    }

    /// Writes the events, each in a chunk of its own. In a stream to be spoiled, one write has two
    /// events, the second of which has wrong bytes, and the connection ends after it.
    fn write_events(
        &self,
        connection: &mut Connection,
        attempt: &str,
        after: u64,
    ) -> io::Result<()> {
        let number = self.streams.fetch_add(1, Ordering::SeqCst) + 1;
        let every = self.spoil_every.load(Ordering::SeqCst);
        let is_spoiled = every > 0 && number % every == 0 && after == 0;
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
             Attempt-Id: {attempt}\r\nServer-Signature: sig-{}\r\n\r\n",
            self.id
        );
        connection.write(head.as_bytes())?;
        for id in after + 1..=EVENTS {
            std::thread::sleep(EVENT_GAP);
            if is_spoiled && id == EVENTS / 2 {
                let spoiled = event(attempt, id + 1).replace("id:", "i\u{1}:");
                connection.write(&chunk(&format!("{}{spoiled}", event(attempt, id))))?;
                self.spoiled.fetch_add(1, Ordering::SeqCst);
                self.fleet.record.line(&format!(
                    "spoils   {attempt} at {}: event {id} is right, event {} has wrong bytes",
                    self.id,
                    id + 1
                ));
                return Err(io::ErrorKind::Other.into());
            }
            connection.write(&chunk(&event(attempt, id)))?;
        }
        connection.write(b"0\r\n\r\n")
    }
}

const JSON: &str = "Content-Type: application/json\r\n";

/// The event `id` of the answer to `attempt`.
pub fn event(attempt: &str, id: u64) -> String {
    format!("id: {id}\ndata: piece {id} of {attempt}\n\n")
}

fn chunk(text: &str) -> Vec<u8> {
    format!("{:x}\r\n{text}\r\n", text.len()).into_bytes()
}

fn answer(status: u16, headers: &str, body: &str) -> Vec<u8> {
    let head = format!(
        "HTTP/1.1 {status} Status\r\n{headers}Content-Length: {}\r\n\r\n",
        body.len()
    );
    format!("{head}{body}").into_bytes()
}

pub const HOST: &str = "desk.example";
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";

/// Configuration of the sheet `fbpb-prescri`, with one route of each kind that the cases use.
pub fn document(version: u64) -> String {
    format!(
        r#"{{"version":{version},"routes":[
{{"name":"clause-draft","host":"{HOST}","pathPrefix":"/draft/","kind":"streaming","timeoutMs":20000,"targetLatencyMs":500,"priority":1,"service":"redac","maxAttempts":2,"public":false,"sticky":true,"resumable":true,"gapAimMs":200}},
{{"name":"dossier-read","host":"{HOST}","pathPrefix":"/read/","kind":"idempotent","timeoutMs":1500,"targetLatencyMs":100,"priority":2,"service":"portail","maxAttempts":2,"public":false}},
{{"name":"attest-file","host":"{HOST}","pathPrefix":"/file/","kind":"non_idempotent","timeoutMs":1500,"targetLatencyMs":100,"priority":2,"service":"portail","maxAttempts":2,"public":false}}],
"services":[
{{"name":"redac","healthPath":"/healthz","maxConnections":978,"protocol":"h1","tls":false,"engine":{{"slots":192,"kvTokens":100000,"kvBytes":590000,"linkMbps":480000.0,"stride":2,"models":[{{"name":"m0","pace":1.0,"loadS":14.0,"warmS":1.0}}],"step_ms":0.85,"per_seq_ms":0.00382,"context_per_k":0.00512,"read_per_s":196000.0,"pairs_per_m":0.166,"chunk":512,"report_lag_ms":200.0,"loadsPerS":0.0,"loads_at_once":6,"delays":[],"usual":{{"prompt":772,"answer":172}},"layers":{LAYERS},"layerMb":1750.0,"actBytes":29500,"pipeMbps":9000.0,"kinds":[{{"name":"h100","mb":72000.0,"pace":1.4,"readX":1.0}}]}}}},
{{"name":"portail","healthPath":"/healthz","maxConnections":110,"protocol":"h1","tls":false}}],
"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},
"tenants":[{{"name":"hule930","apiKeys":["{KEY}"],"priority":1}}]}}"#
    )
}
