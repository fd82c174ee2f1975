//! The record of a case: what was sent, answered and run.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    start: Instant,
    file: Mutex<BufWriter<File>>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("a record");
        Self {
            start: Instant::now(),
            file: Mutex::new(BufWriter::new(file)),
        }
    }

    /// Seconds since the start of the case.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let at = self.now();
        let _ = writeln!(self.file.lock().unwrap(), "{at:9.3}  {text}");
    }

    /// Writes a line and prints it.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{:9.3}  {text}", self.now());
    }

    pub fn flush(&self) {
        let _ = self.file.lock().unwrap().flush();
    }
}
