//! The platform's part: settings from the deploy file's templates, starts, signals and restarts.

use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http::{self, Answer};

const PEER_PORT: u16 = 7_340;
const HEARTBEAT_PORT: u16 = 7_355;
const READY_PORT: u16 = 8_220;
const FRONT_PORT: u16 = 8_227;
const CONTROL_PORT: u16 = 8_229;
const ENGINE_PORT: u16 = 8_080;
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// One machine of the system with its process.
pub struct Host {
    pub name: String,
    pub ip: String,
    pub is_core: bool,
    zone: usize,
    folder: PathBuf,
    child: Option<Child>,
}

/// Engine of a plain service, a process of its own.
pub struct EngineProcess {
    pub id: String,
    child: Child,
}

/// All processes of a case. Dropping it ends them.
pub struct Cluster {
    pub core: Vec<Host>,
    pub fronts: Vec<Host>,
    pub engines: Vec<EngineProcess>,
    /// Value of the setting `bootstrap` at the next start of a process.
    pub bootstrap: bool,
    pub runs: PathBuf,
    network: String,
    record: File,
    began: Instant,
}

impl Cluster {
    /// Prepares `core` and `fronts` machines in three zones. `folder` gets the record.
    pub fn new(folder: &str, core: usize, fronts: usize) -> Result<Self, String> {
        let network = free_network()?;
        let work = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        let failed = |error: std::io::Error| error.to_string();
        fs::create_dir_all(&work).map_err(failed)?;
        let record = File::create(PathBuf::from(folder).join("record.txt")).map_err(failed)?;
        let host = |kind: &str, number: usize, index: usize| Host {
            name: format!("{kind}-{}", index + 1),
            ip: format!("{network}.{number}.{}", index + 1),
            is_core: kind == "core",
            zone: index % 3,
            folder: work.join(format!("{kind}-{}", index + 1)),
            child: None,
        };
        Ok(Self {
            core: (0..core).map(|index| host("core", 1, index)).collect(),
            fronts: (0..fronts).map(|index| host("front", 2, index)).collect(),
            engines: Vec::new(),
            bootstrap: true,
            runs: work.join("runs.txt"),
            network,
            record,
            began: Instant::now(),
        })
    }

    /// Seconds since the case began.
    pub fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    /// Writes a line of the record.
    pub fn note(&mut self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.now());
        self.record.write_all(line.as_bytes()).expect("a record");
    }

    pub fn controls(&self) -> Vec<SocketAddr> {
        self.core.iter().map(|host| address(&host.ip, CONTROL_PORT)).collect()
    }

    pub fn front(&self, index: usize) -> SocketAddr {
        address(&self.fronts[index].ip, FRONT_PORT)
    }

    /// Starts all machines.
    pub fn start(&mut self) -> Result<(), String> {
        for index in 0..self.core.len() {
            self.start_core(index)?;
        }
        for index in 0..self.fronts.len() {
            let (seeds, bootstrap) = (self.seeds(), self.bootstrap);
            self.fronts[index].start(&seeds, bootstrap)?;
        }
        self.note("all machines of the system started");
        Ok(())
    }

    pub fn start_core(&mut self, index: usize) -> Result<(), String> {
        let (seeds, bootstrap) = (self.seeds(), self.bootstrap);
        self.core[index].start(&seeds, bootstrap)
    }

    fn seeds(&self) -> String {
        let seeds = self.core.iter().take(3);
        let seeds: Vec<String> = seeds.map(|host| format!("{}:{CONTROL_PORT}", host.ip)).collect();
        seeds.join(",")
    }

    /// Starts an engine of a plain service.
    pub fn start_engine(&mut self, service: &str) -> Result<(), String> {
        let number = self.engines.len() + 1;
        let id = format!("i-{service}-{number}");
        let listen = format!("{}.3.{number}:{ENGINE_PORT}", self.network);
        let zone = format!("zone-{}", number % 3);
        let program = std::env::current_exe().map_err(|error| error.to_string())?;
        let mut command = Command::new(program);
        command.args(["engine", &id, service, &zone, &listen]).arg(&self.runs);
        command.args(self.controls().iter().map(SocketAddr::to_string));
        let child = command.spawn().map_err(|error| error.to_string())?;
        self.note(&format!("engine {id} started"));
        self.engines.push(EngineProcess { id, child });
        Ok(())
    }

    /// Kills the engine with this number, counted from 0.
    pub fn kill_engine(&mut self, index: usize) {
        let engine = &mut self.engines[index];
        let _ = engine.child.kill();
        let _ = engine.child.wait();
        let line = format!("engine {} killed", engine.id);
        self.note(&line);
    }

    /// Sends a document to one daemon after the other until it is acknowledged or refused, for `limit`.
    pub fn publish(&mut self, document: &str, limit: Duration) -> Result<Option<u16>, String> {
        let began = Instant::now();
        let controls = self.controls();
        let (mut last, mut pause) = (None, Duration::from_millis(50));
        for target in controls.iter().cycle() {
            let fields = [("Content-Type", "application/json")];
            let answer = http::call(*target, ("PUT", "/pollendrift/config"), &fields, document, CALL_TIMEOUT);
            let told = describe(&answer);
            if last.as_ref() != Some(&told) {
                self.note(&format!("operator: configuration sent to {target}: {told}"));
                last = Some(told);
            }
            match answer {
                Ok(answer) if answer.status < 500 => return Ok(Some(answer.status)),
                _ if began.elapsed() >= limit => return Ok(None),
                _ => std::thread::sleep(pause),
            }
            pause = (pause * 2).min(Duration::from_millis(500));
        }
        Ok(None)
    }

    /// Lines of the engines' record: time, service, engine, attempt, path.
    pub fn read_runs(&self) -> Vec<Vec<String>> {
        let text = fs::read_to_string(&self.runs).unwrap_or_default();
        let words = |line: &str| line.split(' ').map(str::to_owned).collect();
        text.lines().map(words).collect()
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for host in self.core.iter_mut().chain(&mut self.fronts) {
            host.kill();
        }
        for engine in &mut self.engines {
            let _ = engine.child.kill();
            let _ = engine.child.wait();
        }
        if let Some(work) = self.runs.parent().filter(|_| std::env::var("KEEP").is_err()) {
            let _ = fs::remove_dir_all(work);
        }
    }
}

impl Host {
    fn start(&mut self, seeds: &str, bootstrap: bool) -> Result<(), String> {
        let failed = |error: std::io::Error| error.to_string();
        let data = self.folder.join("data");
        fs::create_dir_all(&data).map_err(failed)?;
        let template = if self.is_core { "keeper" } else { "entry" };
        let template = fs::read_to_string(format!("deploy/platform/{template}.yaml")).map_err(failed)?;
        let settings = self.folder.join("local.yaml");
        let filled = fill(&template, &self.fields(seeds, bootstrap, &data.to_string_lossy()));
        fs::write(&settings, filled).map_err(failed)?;
        let log = OpenOptions::new().create(true).append(true).open(self.folder.join("log"));
        let log = log.map_err(failed)?;
        let mut command = Command::new("target/release/pollendrift");
        command.arg("run").arg("--settings").arg(&settings);
        command.stdin(Stdio::null()).stderr(log.try_clone().map_err(failed)?).stdout(log);
        self.child = Some(command.spawn().map_err(failed)?);
        Ok(())
    }

    fn fields(&self, seeds: &str, bootstrap: bool, data: &str) -> BTreeMap<String, String> {
        let ip = &self.ip;
        let memory = if self.is_core { 256 } else { 260 };
        let descriptors = if self.is_core { 4_096 } else { 4_100 };
        [
            ("node", self.name.clone()),
            ("zone", format!("zone-{}", self.zone)),
            ("ip", ip.clone()),
            ("internalPorts.0", PEER_PORT.to_string()),
            ("internalPorts.1", HEARTBEAT_PORT.to_string()),
            ("seeds", seeds.to_owned()),
            ("bootstrap", bootstrap.to_string()),
            ("dataDir", data.to_owned()),
            ("listen.front", format!("{ip}:{FRONT_PORT}")),
            ("listen.ready", format!("{ip}:{READY_PORT}")),
            ("listen.control", format!("{ip}:{CONTROL_PORT}")),
            ("limits.maxFds", descriptors.to_string()),
            ("limits.memoryMb", memory.to_string()),
            ("bounds.configMs", "2000".to_owned()),
            ("bounds.revokeMs", "5000".to_owned()),
            ("bounds.retryBudgetRatio", "0.2".to_owned()),
            ("bounds.budgetSlack", "202".to_owned()),
            ("bounds.budgetWindowS", "10".to_owned()),
            ("bounds.stall_ms", "2000".to_owned()),
        ]
        .into_iter()
        .map(|(name, value)| (name.to_owned(), value))
        .collect()
    }

    /// Sends the process a signal by its name.
    pub fn signal(&self, signal: &str) {
        if let Some(child) = &self.child {
            let command = format!("kill -{signal} {}", child.id());
            let _ = Command::new("sh").args(["-c", &command]).status();
        }
    }

    /// Ends the process as a kill does.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether the process that was started still runs.
    pub fn is_running(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }
}

fn describe(answer: &Result<Answer, String>) -> String {
    match answer {
        Ok(answer) => format!("{} {}", answer.status, answer.body.trim_end()),
        Err(reason) => format!("no answer: {reason}"),
    }
}

fn address(ip: &str, port: u16) -> SocketAddr {
    format!("{ip}:{port}").parse().expect("an address")
}

/// Fills a template; the placeholders of these templates are plain names.
fn fill(template: &str, fields: &BTreeMap<String, String>) -> String {
    let mut text = template.to_owned();
    for (name, value) in fields {
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    text
}

/// First two numbers of a loopback network in which nothing listens on the ports of this test.
fn free_network() -> Result<String, String> {
    let start = std::process::id() % 200;
    for offset in 0..200 {
        let network = format!("127.{}", 20 + (start + offset) % 200);
        let ports = [("1.1", CONTROL_PORT), ("1.1", PEER_PORT), ("2.1", FRONT_PORT), ("3.1", ENGINE_PORT)];
        let is_free = |(host, port): &(&str, u16)| {
            TcpListener::bind(address(&format!("{network}.{host}"), *port)).is_ok()
        };
        if ports.iter().all(is_free) {
            return Ok(network);
        }
    }
    Err("no free ports".to_owned())
}
