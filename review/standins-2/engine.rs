//! One engine of a plain service, by the users' pages: it announces itself, answers health checks
//! and runs requests. Each run is one line in the record.

use std::fs::OpenOptions;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http;

const HEARTBEAT: Duration = Duration::from_millis(1_200);
const ACK_TIMEOUT: Duration = Duration::from_secs(1);
const WORK: Duration = Duration::from_millis(15);

struct Engine {
    id: String,
    service: String,
    zone: String,
    address: SocketAddr,
    record: String,
    born: u64,
}

/// Milliseconds since the Unix epoch.
pub fn wall_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(0)
}

/// Serves until killed. Arguments: id, service, zone, address, record file, control addresses.
pub fn run(arguments: &[&str]) {
    let [id, service, zone, address, record, controls @ ..] = arguments else {
        return;
    };
    let engine = Arc::new(Engine {
        id: (*id).to_owned(),
        service: (*service).to_owned(),
        zone: (*zone).to_owned(),
        address: address.parse().expect("an address"),
        record: (*record).to_owned(),
        born: wall_millis(),
    });
    let controls: Vec<SocketAddr> = controls.iter().filter_map(|text| text.parse().ok()).collect();
    let listener = TcpListener::bind(engine.address).expect("a free address");
    let announced = Arc::clone(&engine);
    thread::spawn(move || announced.announce(&controls));
    for stream in listener.incoming().flatten() {
        let engine = Arc::clone(&engine);
        thread::spawn(move || engine.serve(stream));
    }
}

impl Engine {
    fn announce(&self, controls: &[SocketAddr]) {
        let path = format!("/pollendrift/instances/{}", self.id);
        let (mut turn, mut assigned) = (0, None);
        for sequence in 1_u64.. {
            let body = format!(
                "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":6,\
                 \"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":{sequence},\"born\":{}}}",
                self.service, self.address, self.zone, self.born
            );
            let target = assigned.unwrap_or(controls[turn % controls.len()]);
            let fields = [("Content-Type", "application/json")];
            match http::call(target, ("PUT", &path), &fields, &body, ACK_TIMEOUT) {
                Ok(answer) if (200..300).contains(&answer.status) => {
                    let after = answer.body.split("\"heartbeatAddress\":\"").nth(1);
                    let named = after.and_then(|text| text.split('"').next()?.parse().ok());
                    assigned = named.or(assigned);
                    thread::sleep(HEARTBEAT);
                }
                _ => {
                    assigned = None;
                    turn += 1;
                    thread::sleep(Duration::from_millis(50));
                }
            }
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(head)) = http::read_head(&mut reader) {
            let Ok(_body) = http::read_body(&mut reader, &head) else {
                return;
            };
            let answer = self.answer(&head);
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &http::Head) -> String {
        let path = head.first.split(' ').nth(1).unwrap_or_default();
        if path == "/healthz" {
            return format!("HTTP/1.1 200 OK\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n", self.id);
        }
        let attempt = head.field("attempt-id").unwrap_or_default();
        let echo = format!("Attempt-Id: {attempt}\r\nContent-Length");
        if head.field("expect-instance").is_some_and(|id| id != self.id) {
            return format!("HTTP/1.1 421 Misdirected Request\r\n{echo}: 0\r\n\r\n");
        }
        let line = format!("{} {} {} {attempt} {path}\n", wall_millis(), self.service, self.id);
        let file = OpenOptions::new().create(true).append(true).open(&self.record);
        file.expect("a record").write_all(line.as_bytes()).expect("a record");
        thread::sleep(WORK);
        let body = format!("done by {}", self.id);
        format!(
            "HTTP/1.1 200 OK\r\nServer-Signature: s.{}.{attempt}\r\nInstance-Load: 0,0,6\r\n{echo}: {}\r\n\r\n{body}",
            self.id,
            body.len()
        )
    }
}
