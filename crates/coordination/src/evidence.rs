//! Evidence: one record per request, refusal and configuration change, chained by hashes.
//!
//! Each process writes its own chain, so appending needs no agreement between processes; keepers
//! only store records. [`EvidenceBuffer`] runs on every entry and [`HeadTable`] on every keeper;
//! [`verify()`] works offline on an export. Records hold the lengths and digests of prompts and
//! answers, not their text.

mod buffer;
mod chain;
mod export;
mod filter;
mod heads;
mod record;
mod replicated_batch;
#[cfg(feature = "report")]
mod report;
mod retention;
mod timeline;
mod verify;

pub use buffer::{
    BufferError, BufferSettings, BufferStatus, EvidenceBatch, EvidenceBuffer, KeeperBatch,
};
pub use chain::{ChainAnchor, ChainHead, ChainWriter, EvidenceDigest, EvidenceError, SealedRecord};
pub use export::{EvidenceExport, ExportEnd, ExportLine};
pub use filter::EvidenceFilter;
pub use heads::{AcceptedBatch, BatchRefusal, HeadTable, MissingRange};
pub use record::{
    AttemptTrace, BodyDigest, ConfigurationChanged, DecisionTrace, EvidenceEvent, EvidenceRecord,
    OutcomeKind, RefusalsOmitted, RequestBegun, RequestFinished, RequestRefused, RequestTimings,
    RetentionApplied, RevisionInForce, SelectorVerdict, TracedStage,
};
pub use replicated_batch::replicated_through;
#[cfg(feature = "report")]
pub use report::{ReportError, report_page};
pub use retention::{RetentionPolicy, StoredSpan, spans_to_drop};
pub use timeline::request_timeline;
pub use verify::{ChainSummary, VerifyReport, verify};
