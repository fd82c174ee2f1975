//! Clients that read from the portal, each on new connections to one entry.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crate::hosts::Cluster;
use crate::http::call;
use crate::record::Record;
use crate::servers::{HOST, KEY};

const REQUEST_GAP: Duration = Duration::from_millis(80);
/// Deadline of the requests.
const DEADLINE: Duration = Duration::from_millis(1_500);

/// Answer to one request.
#[derive(Clone, Copy)]
pub struct ReadAnswer {
    /// Seconds from the start of the case to the sending of the request.
    pub sent: f64,
    /// 0 without an answer.
    pub status: u16,
}

pub struct Readers {
    is_over: Arc<AtomicBool>,
    answers: Arc<Mutex<Vec<ReadAnswer>>>,
    threads: Vec<JoinHandle<()>>,
}

impl Readers {
    pub fn start(cluster: &Cluster, count: u64, record: &Arc<Record>) -> Self {
        let is_over = Arc::new(AtomicBool::new(false));
        let answers = Arc::new(Mutex::new(Vec::new()));
        let threads = (0..count).map(|number| {
            let front = cluster.entries[number as usize % cluster.entries.len()].front();
            let (is_over, answers) = (Arc::clone(&is_over), Arc::clone(&answers));
            let record = Arc::clone(record);
            thread::spawn(move || read_until(front, number, &is_over, &answers, &record))
        });
        let threads = threads.collect();
        Self {
            is_over,
            answers,
            threads,
        }
    }

    /// Ends the clients and returns the answers that they got.
    pub fn stop(self) -> Vec<ReadAnswer> {
        self.is_over.store(true, Ordering::SeqCst);
        for thread in self.threads {
            let _ = thread.join();
        }
        self.answers.lock().unwrap().clone()
    }
}

fn read_until(
    front: SocketAddr,
    client: u64,
    is_over: &AtomicBool,
    answers: &Mutex<Vec<ReadAnswer>>,
    record: &Record,
) {
    let key = format!("Bearer {KEY}");
    for number in 0.. {
        if is_over.load(Ordering::SeqCst) {
            return;
        }
        let attempt = format!("{:016x}", (client << 32) + number + 1);
        let headers = [
            ("Host", HOST),
            ("Attempt-Id", attempt.as_str()),
            ("Deadline-Ms", "1500"),
            ("Authorization", key.as_str()),
            ("Connection", "close"),
        ];
        let sent = record.now();
        let answer = call(front, "GET", "/read/1", &headers, "", DEADLINE);
        let status = answer.map(|answer| answer.status()).unwrap_or(0);
        answers.lock().unwrap().push(ReadAnswer { sent, status });
        record.line(&format!(
            "client   {attempt} sent at {sent:.3} to {front}: {status}"
        ));
        thread::sleep(REQUEST_GAP);
    }
}
