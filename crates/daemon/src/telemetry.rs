//! Evidence, logs and metrics of a running daemon.

mod admission_metrics;
mod instruments;
mod journal;
mod lines;
mod logs;
mod metrics;
mod recorder;
mod slot;

pub use admission_metrics::{AdmissionLevels, AdmissionMetrics};
pub use instruments::{INSTRUMENTS, InstrumentKind, InstrumentSpec};
pub use journal::{EvidenceJournal, JournalError, RetentionPlan};
pub use lines::{LineAppender, LineBudget, LineSettings, format_line};
pub use logs::{LogControl, LogError, log_config, log_field};
pub use metrics::{MetricError, MetricRegistry, RefusedConnection, RequestEnd};
pub use recorder::{EvidenceRecorder, EvidenceSink, OpenRequest, SinkError, StoreFuture};
pub use slot::RecorderSlot;
