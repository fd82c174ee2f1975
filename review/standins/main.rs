//! Script cases of the review: `review-case NAME FOLDER` plays one on the built programs, writes
//! `record.txt` there, and exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod hosts;
mod http;
mod leave_lost;
mod readers;
mod record;
mod servers;
mod stray_heartbeats;
mod stream_gap;

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use record::Record;

/// Longest time of a case.
const CASE_TIMEOUT: Duration = Duration::from_secs(100);

/// What a case found.
pub enum Outcome {
    Held,
    Broken,
    CouldNotRun(String),
}

/// What a case gets.
pub struct Stage {
    /// Folder for settings, data and logs of the processes.
    pub folder: PathBuf,
    pub record: Arc<Record>,
    /// Whether the disruption takes place.
    pub has_trouble: bool,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, case] = arguments.as_slice() else {
        eprintln!("usage: review-case NAME FOLDER");
        return ExitCode::from(2);
    };
    let folder = std::env::temp_dir().join(format!("review-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a temporary folder");
    let record = Arc::new(Record::create(&Path::new(case).join("record.txt")));
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record.say(&format!("case {name}, trouble: {has_trouble}"));
    let (late, late_folder) = (Arc::clone(&record), folder.clone());
    std::thread::spawn(move || {
        std::thread::sleep(CASE_TIMEOUT);
        hosts::kill_all();
        let _ = std::fs::remove_dir_all(late_folder);
        late.say("the case could not run: it took too long");
        late.flush();
        std::process::exit(2);
    });
    let stage = Stage {
        folder: folder.clone(),
        record: Arc::clone(&record),
        has_trouble,
    };
    let outcome = match name.as_str() {
        "stream-gap" => stream_gap::play(&stage),
        "leave-lost" => leave_lost::play(&stage),
        "stray-heartbeats" => stray_heartbeats::play(&stage),
        _ => Outcome::CouldNotRun("no such case".to_owned()),
    };
    hosts::kill_all();
    let keeps_folder = std::env::var("KEEP").is_ok();
    if keeps_folder {
        record.say(&format!("logs in {}", folder.display()));
    } else {
        let _ = std::fs::remove_dir_all(&folder);
    }
    let (text, code) = match outcome {
        Outcome::Held => ("the rule held".to_owned(), 0),
        Outcome::Broken => ("the rule was broken".to_owned(), 1),
        Outcome::CouldNotRun(reason) => (format!("the case could not run: {reason}"), 2),
    };
    record.say(&text);
    record.flush();
    ExitCode::from(code)
}
