//! Log lines: short JSON objects written to standard output without blocking the caller.
//!
//! A reader that stops, or too many lines, must not delay requests. A line that exceeds the queue
//! or the budget is dropped and counted, and the count is written as soon as the queue has
//! capacity. Warnings and errors have a separate budget, so that many lines about served requests
//! don't displace the line about a failed one. Lines with the same message have a limit of their own: one
//! fault may concern each of hundreds of requests.

mod messages;

use std::fmt::Write as _;
use std::io::Write;
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use log::kv::{Error, Key, Value, VisitSource};
use log::{Level, Record};
use log4rs::append::Append;
use pollendrift_coordination::base::MonotonicTime;

use self::messages::MessageBudget;
use crate::clock::{SystemClock, TimeSource};

/// Capacity of the queue to the writer: a few seconds of the usual lines of an entry.
const QUEUE_LINES: usize = 1_024;
/// Maximum wait for the last lines when the process ends: much longer than a pipe with an active
/// reader needs, and shorter than the time that a planned stop has left.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
/// Line length in bytes after which no more fields are added.
const MAX_LINE_BYTES: usize = 2_048;

/// Budgets of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LineSettings {
    /// Lines per second of level info and below. An entry writes three for each request, and serves
    /// about ten requests a second on present hosts.
    pub info_lines: u32,
    /// Warnings and errors per second.
    pub warning_lines: u32,
    /// Lines per second with the same message, of any level.
    pub message_lines: u32,
}

impl Default for LineSettings {
    fn default() -> Self {
        Self {
            info_lines: 200,
            warning_lines: 100,
            message_lines: 60,
        }
    }
}

/// Lines of one class in the current second.
#[derive(Clone, Copy, Debug, Default)]
struct LineCount {
    second: u64,
    lines: u32,
}

impl LineCount {
    fn admit(&mut self, now: MonotonicTime, limit: u32) -> bool {
        let second = now.as_micros() / 1_000_000;
        if self.second != second {
            *self = Self { second, lines: 0 };
        }
        self.lines = self.lines.saturating_add(1);
        self.lines <= limit
    }
}

/// Counts the lines written in the current second and the dropped lines.
#[derive(Debug, Default)]
pub struct LineBudget {
    settings: LineSettings,
    info: LineCount,
    warnings: LineCount,
    dropped: u64,
}

impl LineBudget {
    /// Creates an unused budget.
    pub fn new(settings: LineSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Whether a line of `level` may be written at `now`; counts it as dropped otherwise.
    pub fn admit(&mut self, now: MonotonicTime, level: Level) -> bool {
        let is_admitted = if level <= Level::Warn {
            self.warnings.admit(now, self.settings.warning_lines)
        } else {
            self.info.admit(now, self.settings.info_lines)
        };
        if !is_admitted {
            self.count_dropped();
        }
        is_admitted
    }

    /// Counts a dropped line.
    pub fn count_dropped(&mut self) {
        self.dropped = self.dropped.saturating_add(1);
    }

    /// Returns and resets the number of dropped lines.
    pub fn take_dropped(&mut self) -> u64 {
        std::mem::take(&mut self.dropped)
    }
}

/// Item of the queue to the writer thread.
#[derive(Debug)]
enum QueuedItem {
    /// A line, with its line break.
    Line(String),
    /// Request to signal that all earlier lines are written.
    Flush(SyncSender<()>),
}

/// Appends lines to a queue, which a separate thread writes to the output.
#[derive(Debug)]
pub struct LineAppender {
    lines: SyncSender<QueuedItem>,
    budget: Mutex<LineBudget>,
    messages: Mutex<MessageBudget>,
    clock: SystemClock,
}

impl LineAppender {
    /// Creates an appender to `output` and starts its writer thread.
    ///
    /// # Errors
    /// The thread can't be started.
    pub fn start<W>(settings: LineSettings, output: W) -> std::io::Result<Self>
    where
        W: Write + Send + 'static,
    {
        let (lines, queue) = sync_channel(QUEUE_LINES);
        std::thread::Builder::new()
            .name("log-lines".to_owned())
            .spawn(move || write_lines(&queue, output))?;
        Ok(Self {
            lines,
            budget: Mutex::new(LineBudget::new(settings)),
            messages: Mutex::new(MessageBudget::new(settings.message_lines)),
            clock: SystemClock::default(),
        })
    }

    /// Whether the message of a record is within its limit. Reports lines that were left out before.
    fn admit_message(&self, now: MonotonicTime, record: &Record<'_>) -> bool {
        // The text of other records differs from line to line.
        let message = record.args().as_str().or(record.module_path_static());
        let mut messages = self.messages.lock().unwrap_or_else(PoisonError::into_inner);
        for (message, lines) in messages.take_left_out(now) {
            self.push(left_out_line(message, lines));
        }
        message.is_none_or(|message| messages.admit(now, message))
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
        if !self.admit_message(now, record) {
            return Ok(());
        }
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        if !budget.admit(now, record.level()) {
            return Ok(());
        }
        let dropped = budget.take_dropped();
        if dropped > 0 && !self.push(dropped_lines_line(dropped)) {
            for _ in 0..dropped {
                budget.count_dropped();
            }
        }
        if !self.push(format_line(record)) {
            budget.count_dropped();
        }
        Ok(())
    }

    /// Waits until all earlier lines are written, `FLUSH_TIMEOUT` at most.
    ///
    /// Without this wait a process would lose its last lines when it ends, among them the line
    /// about its stop. The wait is limited, since the reader of the output may have stopped.
    fn flush(&self) {
        let (done, written) = sync_channel(1);
        if self.lines.try_send(QueuedItem::Flush(done)).is_ok() {
            // A timeout means that the output is blocked, so the error can't be reported.
            let _ = written.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

fn write_lines<W>(queue: &Receiver<QueuedItem>, mut output: W)
where
    W: Write,
{
    while let Ok(item) = queue.recv() {
        let written = match item {
            QueuedItem::Line(line) => output.write_all(line.as_bytes()),
            QueuedItem::Flush(done) => {
                let written = output.flush();
                // The receiver may have timed out.
                let _ = done.send(());
                written
            }
        };
        // The output is closed, so the error can't be reported.
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

fn dropped_lines_line(lines: u64) -> String {
    let time = wall_millis();
    format!("{{\"t\":{time},\"l\":\"warn\",\"m\":\"lines left out\",\"lines\":{lines}}}\n")
}

fn left_out_line(message: &str, lines: u64) -> String {
    let (time, message) = (wall_millis(), quoted(message));
    format!(
        "{{\"t\":{time},\"l\":\"warn\",\"m\":\"lines left out\",\"of\":{message},\"lines\":{lines}}}\n"
    )
}

/// Formats a record as a line: `t` is the wall-clock time in milliseconds, `l` the level, `m` the
/// message; the fields of the record follow.
pub fn format_line(record: &Record<'_>) -> String {
    let level = record.level().as_str().to_ascii_lowercase();
    let message = quoted(&record.args().to_string());
    let time = wall_millis();
    let mut line = format!("{{\"t\":{time},\"l\":\"{level}\",\"m\":{message}");
    let mut fields = FieldWriter { line: &mut line };
    // Omits a field that can't be written; the others stay.
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
        let value = format_value(&value);
        let _ = write!(self.line, ",{}:{value}", quoted(key.as_str()));
        Ok(())
    }
}

/// Formats numbers and booleans as JSON values, other values as text of limited length.
fn format_value(value: &Value<'_>) -> String {
    if let Some(number) = value.to_u64() {
        return number.to_string();
    }
    if let Some(number) = value.to_i64() {
        return number.to_string();
    }
    if let Some(flag) = value.to_bool() {
        return flag.to_string();
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
