//! The project's own processes, started with the commands and templates of the deploy file.

use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::call;

/// Ports of one machine, the same on all.
const FRONT: u16 = 8227;
const READY: u16 = 8220;
const CONTROL: u16 = 8229;
const METRICS: u16 = 9464;
const INTERNAL: [u16; 2] = [7340, 7355];

/// Bounds of the sheet `fbpb-prescri`.
const BOUNDS: [(&str, &str); 6] = [
    ("bounds.configMs", "2000"),
    ("bounds.revokeMs", "5000"),
    ("bounds.retryBudgetRatio", "0.2"),
    ("bounds.budgetSlack", "202"),
    ("bounds.budgetWindowS", "10"),
    ("bounds.stall_ms", "2000"),
];
pub const ZONES: [&str; 3] = ["brest-a", "quimper-b", "lorient-c"];

/// The processes that this case started, for the end of a case that takes too long.
static CHILDREN: Mutex<Vec<Arc<Mutex<Option<Child>>>>> = Mutex::new(Vec::new());

fn new_child() -> Arc<Mutex<Option<Child>>> {
    let child = Arc::default();
    CHILDREN.lock().unwrap().push(Arc::clone(&child));
    child
}

/// Kills all processes that this case started, and waits for their ends.
pub fn kill_all() {
    for child in CHILDREN.lock().unwrap().iter() {
        if let Some(mut child) = child.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// One machine with one process.
pub struct Host {
    pub name: String,
    pub ip: Ipv4Addr,
    is_keeper: bool,
    folder: PathBuf,
    child: Arc<Mutex<Option<Child>>>,
}

impl Host {
    pub fn front(&self) -> SocketAddr {
        (self.ip, FRONT).into()
    }

    pub fn control(&self) -> SocketAddr {
        (self.ip, CONTROL).into()
    }

    pub fn ready(&self) -> SocketAddr {
        (self.ip, READY).into()
    }

    /// Starts the process with the command of the deploy file, and the settings file in the folder of
    /// the case in place of the one under `/etc`.
    pub fn start(&self) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join("log"));
        let log = log.expect("a log file");
        let child = Command::new("target/release/pollendrift")
            .args(["run", "--settings"])
            .arg(self.folder.join("local.yaml"))
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log file"))
            .stderr(log)
            .spawn();
        *self.child.lock().unwrap() = Some(child.expect("the program starts"));
    }

    /// Kills the process at once.
    pub fn kill(&self) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    fn write_settings(&self, zone: &str, seeds: &str, bootstrap: bool) {
        let template = if self.is_keeper { "keeper" } else { "entry" };
        let template = fs::read_to_string(format!("deploy/platform/{template}.yaml"));
        let data = fs::canonicalize(&self.folder)
            .expect("a folder")
            .join("data");
        let ip = self.ip.to_string();
        let mut values: Vec<(&str, String)> = vec![
            ("node", self.name.clone()),
            ("zone", zone.to_owned()),
            ("ip", ip.clone()),
            ("dataDir", data.display().to_string()),
            ("listen.front", self.front().to_string()),
            ("listen.ready", self.ready().to_string()),
            ("listen.control", self.control().to_string()),
            ("internalPorts.0", INTERNAL[0].to_string()),
            ("internalPorts.1", INTERNAL[1].to_string()),
            ("seeds", seeds.to_owned()),
            ("bootstrap", bootstrap.to_string()),
        ];
        values.extend(BOUNDS.map(|(name, value)| (name, value.to_owned())));
        let mut text = template.expect("a template of the deploy file");
        for (name, value) in values {
            text = text.replace(&format!("{{{{{name}}}}}"), &value);
        }
        assert!(!text.contains("{{"), "a placeholder is left: {text}");
        fs::write(self.folder.join("local.yaml"), text).expect("settings written");
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

/// All machines of a small deployment.
pub struct Cluster {
    pub keepers: Vec<Host>,
    pub entries: Vec<Host>,
    /// First two numbers of the loopback addresses of this case.
    net: (u8, u8),
}

impl Cluster {
    /// Starts all processes, the first time with empty disks.
    pub fn start(folder: &Path, keepers: usize, entries: usize) -> Self {
        let net = free_net();
        let make = |name: &str, number: usize, count: usize| -> Vec<Host> {
            let hosts = (0..count).map(|index| {
                let name = format!("{name}-{}-{}", ZONES[index % 3], index / 3 + 1);
                let folder = folder.join(&name);
                fs::create_dir_all(folder.join("data")).expect("a folder");
                let last = u8::try_from(number + index).expect("a small number");
                Host {
                    is_keeper: name.starts_with("core"),
                    ip: Ipv4Addr::new(127, net.0, net.1, last),
                    name,
                    folder,
                    child: new_child(),
                }
            });
            hosts.collect()
        };
        let cluster = Self {
            keepers: make("core", 10, keepers),
            entries: make("front", 30, entries),
            net,
        };
        cluster.write_settings(true);
        cluster
            .keepers
            .iter()
            .chain(&cluster.entries)
            .for_each(Host::start);
        // The settings file of later starts.
        std::thread::sleep(Duration::from_secs(3));
        cluster.write_settings(false);
        cluster
    }

    fn write_settings(&self, bootstrap: bool) {
        let seeds: Vec<String> = self
            .keepers
            .iter()
            .take(3)
            .map(|k| k.control().to_string())
            .collect();
        for hosts in [&self.keepers, &self.entries] {
            for (index, host) in hosts.iter().enumerate() {
                host.write_settings(ZONES[index % 3], &seeds.join(","), bootstrap);
            }
        }
    }

    /// An address for a server that the case starts.
    pub fn server_ip(&self, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net.0, self.net.1, 100 + number)
    }

    pub fn controls(&self) -> Vec<SocketAddr> {
        self.keepers.iter().map(Host::control).collect()
    }

    /// Sends a configuration until it is acknowledged, as the operator does.
    pub fn publish(&self, document: &str, timeout: Duration) -> bool {
        let end = Instant::now() + timeout;
        while Instant::now() < end {
            for control in self.controls() {
                let headers = [("Content-Type", "application/json")];
                let wait = Duration::from_secs(1);
                let answer = call(
                    control,
                    "PUT",
                    "/pollendrift/config",
                    &headers,
                    document,
                    wait,
                );
                if answer.is_ok_and(|answer| answer.status() == 200) {
                    return true;
                }
            }
            std::thread::sleep(Duration::from_millis(200));
        }
        false
    }

    /// Waits until all entries say that they are ready.
    pub fn wait_ready(&self, timeout: Duration) -> bool {
        let end = Instant::now() + timeout;
        let is_ready = |host: &Host| {
            let wait = Duration::from_secs(1);
            let answer = call(host.ready(), "GET", "/pollendrift/readyz", &[], "", wait);
            answer.is_ok_and(|answer| answer.status() == 200)
        };
        while Instant::now() < end {
            if self.entries.iter().all(is_ready) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(200));
        }
        false
    }
}

/// Two numbers of loopback addresses whose ports nobody uses.
fn free_net() -> (u8, u8) {
    let seed = std::process::id();
    for number in 0..200_u32 {
        let value = seed.wrapping_mul(31).wrapping_add(number * 257);
        let net = ((value >> 8 & 0x7f) as u8 + 64, (value & 0xff) as u8);
        let ports = [FRONT, READY, CONTROL, METRICS, INTERNAL[0], INTERNAL[1]];
        let is_free =
            |port: &u16| TcpListener::bind((Ipv4Addr::new(127, net.0, net.1, 10), *port)).is_ok();
        if ports.iter().all(is_free) {
            return net;
        }
    }
    panic!("no free addresses");
}
