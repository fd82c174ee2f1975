//! Tests of log lines: limited in number, never blocking, and flushed before a process ends.

#![allow(clippy::expect_used, reason = "a helper that fails is a failed test")]

use std::io::Write;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use log::{Level, Record};
use log4rs::append::Append;
use pollendrift::telemetry::{LineAppender, LineBudget, LineSettings};
use pollendrift_coordination::base::MonotonicTime;

/// Forwards written text to a channel.
struct ChannelOutput(Sender<String>);

impl Write for ChannelOutput {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        // The receiver is dropped when a test ends.
        let _ = self.0.send(String::from_utf8_lossy(bytes).into_owned());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Blocks every write until the other end of the channel is dropped.
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

// Guards against a lost last line, such as the one about the stop. Lines are queued for a thread
// that ends with the process, so without a flush the last ones would never be written.
#[test]
fn the_last_line_is_written_before_the_process_ends() {
    let (sender, written) = channel();
    let appender =
        LineAppender::start(LineSettings::default(), ChannelOutput(sender)).expect("an appender");
    for number in 0..100 {
        append(&appender, Level::Info, number);
    }
    appender.flush();
    let lines: Vec<String> = written.try_iter().collect();
    assert_eq!(lines.len(), 100);
    assert!(lines[99].contains("\"m\":\"line 99\""), "{}", lines[99]);
}

// Guards against requests, or the end of the process, that wait for a reader of the output that has
// stopped reading: lines beyond the queue must be dropped and counted.
#[test]
fn a_blocked_output_does_not_block_logging() {
    let (reader, blocked) = channel();
    let appender =
        LineAppender::start(LineSettings::default(), BlockedOutput(blocked)).expect("an appender");
    let start = Instant::now();
    for number in 0..20_000 {
        append(&appender, Level::Warn, number);
    }
    appender.flush();
    let took = start.elapsed();
    assert!(took < Duration::from_secs(5), "took {took:?}");
    drop(reader);
}

// Guards against a lost warning about a refused request while lines about ten thousand served
// requests a second use up the budget. The number of dropped lines must be known.
#[test]
fn many_info_lines_do_not_use_up_the_budget_of_warnings() {
    let mut budget = LineBudget::new(LineSettings::default());
    let now = MonotonicTime::from_millis(1_000);
    let written = (0..10_000)
        .filter(|_| budget.admit(now, Level::Info))
        .count();
    assert!(written < 10_000);
    assert!(budget.admit(now, Level::Warn));
    let dropped = usize::try_from(budget.take_dropped()).expect("a small number");
    assert_eq!(dropped, 10_000 - written);
    assert_eq!(budget.take_dropped(), 0);
    let later = MonotonicTime::from_millis(2_000);
    assert!(budget.admit(later, Level::Info));
}

// Guards against one fault that concerns hundreds of requests and takes the processor, and the lines of
// everything else, with a line for each: beyond a limit they become one line with their number.
#[test]
fn lines_with_one_message_are_limited_and_their_rest_is_counted() {
    let (sender, written) = channel();
    let settings = LineSettings::default();
    let appender = LineAppender::start(settings, ChannelOutput(sender)).expect("an appender");
    let began = Instant::now();
    let mut logged = 0;
    while began.elapsed() < Duration::from_millis(2_500) {
        log_literal(&appender);
        logged += 1;
        std::thread::sleep(Duration::from_millis(2));
    }
    append(&appender, Level::Info, 7);
    appender.flush();
    let lines: Vec<String> = written.try_iter().collect();
    let of_message = lines
        .iter()
        .filter(|line| line.contains("\"m\":\"server ended\""));
    let written = of_message.count();
    let seconds = 4;
    assert!(
        written <= settings.message_lines as usize * seconds,
        "{written} of {logged}"
    );
    let counted = "\"m\":\"lines left out\",\"of\":\"server ended\"";
    assert!(lines.iter().any(|line| line.contains(counted)));
    assert!(lines.iter().any(|line| line.contains("line 7")));
}

fn log_literal(appender: &LineAppender) {
    let record = Record::builder()
        .args(format_args!("server ended"))
        .level(Level::Info)
        .build();
    appender.append(&record).expect("appending never fails");
}
