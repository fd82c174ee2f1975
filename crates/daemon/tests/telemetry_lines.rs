//! Log lines: bounded, never waited for, and the last ones written before a process ends.

#![allow(clippy::expect_used, reason = "a helper that fails is a failed test")]

use std::io::Write;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use log::{Level, Record};
use log4rs::append::Append;
use pollendrift::telemetry::{LineAppender, LineBudget, LineSettings};
use pollendrift_coordination::base::MonotonicTime;

/// Passes on what is written.
struct PassingOutput(Sender<String>);

impl Write for PassingOutput {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        // A test that has ended reads no more.
        let _ = self.0.send(String::from_utf8_lossy(bytes).into_owned());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Takes nothing until the other end is dropped.
struct BlockedOutput(Receiver<()>);

impl Write for BlockedOutput {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let _ = self.0.recv();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

fn append(appender: &LineAppender, level: Level, number: usize) {
    appender
        .append(
            &Record::builder()
                .args(format_args!("line {number}"))
                .level(level)
                .build(),
        )
        .expect("appending never fails");
}

// An on-call engineer looks for the line that says that a process stopped. Lines wait for a thread
// that the end of the process takes away, so the last ones were never written.
#[test]
fn the_last_line_is_written_before_the_process_ends() {
    let (sender, written) = channel();
    let appender =
        LineAppender::start(LineSettings::default(), PassingOutput(sender)).expect("an appender");
    for number in 0..100 {
        append(&appender, Level::Info, number);
    }
    appender.flush();
    let lines: Vec<String> = written.try_iter().collect();
    assert_eq!(lines.len(), 100);
    assert!(lines[99].contains("\"m\":\"line 99\""), "{}", lines[99]);
}

// Whoever reads the output stops reading. Requests must not wait for it, nor the end of the process:
// appending goes on, and what does not fit is counted.
#[test]
fn an_output_that_nobody_reads_holds_nothing_up() {
    let (reader, blocked) = channel();
    let appender =
        LineAppender::start(LineSettings::default(), BlockedOutput(blocked)).expect("an appender");
    let begun = Instant::now();
    for number in 0..20_000 {
        append(&appender, Level::Warn, number);
    }
    appender.flush();
    let took = begun.elapsed();
    assert!(took < Duration::from_secs(5), "took {took:?}");
    drop(reader);
}

// Ten thousand requests a second are served, and one is refused. The budget of ordinary lines is
// used up; the refusal is still written, and how many lines were left out is known.
#[test]
fn a_flood_of_ordinary_lines_leaves_room_for_warnings() {
    let mut budget = LineBudget::new(LineSettings::default());
    let now = MonotonicTime::from_millis(1_000);
    let written = (0..10_000)
        .filter(|_| budget.take(now, Level::Info))
        .count();
    assert!(written < 10_000);
    assert!(budget.take(now, Level::Warn));
    let left_out = usize::try_from(budget.take_dropped()).expect("a small number");
    assert_eq!(left_out, 10_000 - written);
    assert_eq!(budget.take_dropped(), 0);
    let later = MonotonicTime::from_millis(2_000);
    assert!(budget.take(later, Level::Info));
}
