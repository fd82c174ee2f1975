//! Log lines: short JSON objects to standard output, bounded, and never waited for.
//!
//! A reader that stops, or a flood, must cost requests nothing: a line that finds no room in the
//! queue or the budget is left out and counted, and the count is written as soon as there is room.
//! Warnings and errors have a budget of their own, so that a flood of served requests does not hide
//! the one that failed.

use std::fmt::Write as _;
use std::io::Write;
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use log::kv::{Error, Key, Value, VisitSource};
use log::{Level, Record};
use log4rs::append::Append;
use pollendrift_coordination::base::MonotonicTime;

use crate::clock::{SystemClock, TimeSource};

/// Lines that wait for the writer: some seconds of an entry's usual lines.
const QUEUE_LINES: usize = 1_024;
/// Time for which a process that ends waits for its last lines: far more than a pipe that is read
/// takes, and less than is left of the time that a planned stop has.
const FLUSH_TIME: Duration = Duration::from_millis(200);
/// Longest line, in bytes; a longer one is cut.
const MAX_LINE_BYTES: usize = 2_048;

/// How many lines are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LineSettings {
    /// Lines of levels info and below, a second. An entry writes three for each request, and takes
    /// about ten requests a second on the hosts of today.
    pub info_lines: u32,
    /// Warnings and errors, a second.
    pub warning_lines: u32,
}

impl Default for LineSettings {
    fn default() -> Self {
        Self {
            info_lines: 200,
            warning_lines: 100,
        }
    }
}

/// Lines of one class in the present second.
#[derive(Clone, Copy, Debug, Default)]
struct LineCount {
    second: u64,
    lines: u32,
}

impl LineCount {
    fn take(&mut self, now: MonotonicTime, most: u32) -> bool {
        let second = now.as_micros() / 1_000_000;
        if self.second != second {
            *self = Self { second, lines: 0 };
        }
        self.lines = self.lines.saturating_add(1);
        self.lines <= most
    }
}

/// What may still be written, and what was left out.
#[derive(Debug, Default)]
pub struct LineBudget {
    settings: LineSettings,
    info: LineCount,
    warnings: LineCount,
    left_out: u64,
}

impl LineBudget {
    /// A budget that is full.
    pub fn new(settings: LineSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Whether a line of `level` may be written at `now`; one that may not is counted.
    pub fn take(&mut self, now: MonotonicTime, level: Level) -> bool {
        let fits = if level <= Level::Warn {
            self.warnings.take(now, self.settings.warning_lines)
        } else {
            self.info.take(now, self.settings.info_lines)
        };
        if !fits {
            self.count_dropped();
        }
        fits
    }

    /// Counts a line that was left out.
    pub fn count_dropped(&mut self) {
        self.left_out = self.left_out.saturating_add(1);
    }

    /// Lines left out since they were last asked for.
    pub fn take_dropped(&mut self) -> u64 {
        std::mem::take(&mut self.left_out)
    }
}

/// What waits for the thread that writes.
#[derive(Debug)]
enum QueuedItem {
    /// A line with its end.
    Line(String),
    /// Somebody waits until all before it is written.
    Mark(SyncSender<()>),
}

/// Appends lines to a queue that a thread of its own writes out.
#[derive(Debug)]
pub struct LineAppender {
    lines: SyncSender<QueuedItem>,
    budget: Mutex<LineBudget>,
    clock: SystemClock,
}

impl LineAppender {
    /// An appender to `output`, and the thread that writes there.
    ///
    /// # Errors
    /// The thread can't be started.
    pub fn start<W>(settings: LineSettings, output: W) -> std::io::Result<Self>
    where
        W: Write + Send + 'static,
    {
        let (lines, waiting) = sync_channel(QUEUE_LINES);
        std::thread::Builder::new()
            .name("log-lines".to_owned())
            .spawn(move || write_out(&waiting, output))?;
        Ok(Self {
            lines,
            budget: Mutex::new(LineBudget::new(settings)),
            clock: SystemClock::default(),
        })
    }

    fn push(&self, line: String) -> bool {
        match self.lines.try_send(QueuedItem::Line(line)) {
            Ok(()) => true,
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => false,
        }
    }
}

impl Append for LineAppender {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let now = self.clock.now();
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        if !budget.take(now, record.level()) {
            return Ok(());
        }
        let left_out = budget.take_dropped();
        if left_out > 0 && !self.push(left_out_line(left_out)) {
            for _ in 0..left_out {
                budget.count_dropped();
            }
        }
        if !self.push(format_line(record)) {
            budget.count_dropped();
        }
        Ok(())
    }

    /// Waits until the lines of before are written, `FLUSH_TIME` at most.
    ///
    /// A process that ended without it lost its last lines, the one that says that it stopped among
    /// them. The wait is bounded since whoever reads the output may have stopped reading.
    fn flush(&self) {
        let (mark, written) = sync_channel(1);
        if self.lines.try_send(QueuedItem::Mark(mark)).is_ok() {
            // Late or never: the output is blocked, and there is nobody to tell.
            let _ = written.recv_timeout(FLUSH_TIME);
        }
    }
}

fn write_out<W>(waiting: &Receiver<QueuedItem>, mut output: W)
where
    W: Write,
{
    while let Ok(item) = waiting.recv() {
        let written = match item {
            QueuedItem::Line(line) => output.write_all(line.as_bytes()),
            QueuedItem::Mark(mark) => {
                let written = output.flush();
                // Whoever waited may have given up.
                let _ = mark.send(());
                written
            }
        };
        // Nobody reads any more; there is no one to tell.
        if written.is_err() {
            return;
        }
    }
}

fn wall_millis() -> u128 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or(Duration::ZERO)
        .as_millis()
}

fn left_out_line(lines: u64) -> String {
    let time = wall_millis();
    format!("{{\"t\":{time},\"l\":\"warn\",\"m\":\"lines left out\",\"lines\":{lines}}}\n")
}

/// The line of a record: `t` is the wall-clock time in milliseconds, `l` the level, `m` what
/// happened; the rest are the record's own fields.
pub fn format_line(record: &Record<'_>) -> String {
    let level = record.level().as_str().to_ascii_lowercase();
    let message = quoted(&record.args().to_string());
    let time = wall_millis();
    let mut line = format!("{{\"t\":{time},\"l\":\"{level}\",\"m\":{message}");
    let mut fields = FieldWriter { line: &mut line };
    // A field that can't be written is left out; the others stand.
    let _ = record.key_values().visit(&mut fields);
    line.push_str("}\n");
    line
}

struct FieldWriter<'line> {
    line: &'line mut String,
}

impl<'kvs> VisitSource<'kvs> for FieldWriter<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        if self.line.len() >= MAX_LINE_BYTES {
            return Ok(());
        }
        let value = text_of(&value);
        let _ = write!(self.line, ",{}:{value}", quoted(key.as_str()));
        Ok(())
    }
}

/// Numbers and truth values as they are, all else as text.
fn text_of(value: &Value<'_>) -> String {
    if let Some(number) = value.to_u64() {
        return number.to_string();
    }
    if let Some(number) = value.to_i64() {
        return number.to_string();
    }
    if let Some(truth) = value.to_bool() {
        return truth.to_string();
    }
    let mut text = value.to_string();
    if text.len() > MAX_LINE_BYTES / 2 {
        let end = (0..=MAX_LINE_BYTES / 2)
            .rev()
            .find(|end| text.is_char_boundary(*end));
        text.truncate(end.unwrap_or(0));
    }
    quoted(&text)
}

fn quoted(text: &str) -> String {
    serde_json::Value::from(text).to_string()
}

#[cfg(test)]
mod tests;
