//! Settings of the evidence.

use std::time::Duration;

use super::reader::SectionReader;

/// Buffer, batches and retention of the evidence.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvidenceSettings {
    /// Maximum number of records that an entry buffers until keepers acknowledge them; new requests
    /// are refused while the buffer is full.
    pub max_buffer_records: u64,
    /// Maximum size of the same buffer in bytes.
    pub max_buffer_bytes: u64,
    /// Maximum number of records in one batch to the keepers.
    pub max_batch_records: u64,
    /// Maximum time that a record of a request waits for further records of its batch.
    pub batch_delay: Duration,
    /// Maximum time that a record without a waiting caller, such as one about a new revision in
    /// force, waits for further records of its batch.
    pub note_delay: Duration,
    /// Time without an acknowledgement after which a batch is resent.
    pub resend_delay: Duration,
    /// Age after which keepers drop records.
    pub retain_age: Duration,
    /// Size in bytes on a keeper's disk above which it drops the oldest records.
    pub retain_bytes: u64,
}

impl Default for EvidenceSettings {
    fn default() -> Self {
        Self {
            max_buffer_records: 16_384,
            max_buffer_bytes: 8 << 20,
            max_batch_records: 256,
            batch_delay: Duration::from_millis(1),
            note_delay: Duration::from_secs(1),
            resend_delay: Duration::from_millis(500),
            retain_age: Duration::from_secs(400 * 86_400),
            retain_bytes: 8 << 30,
        }
    }
}

impl EvidenceSettings {
    pub(super) fn read(section: &mut SectionReader<'_>) -> Self {
        let default = Self::default();
        let (milli, day) = (Duration::from_millis(1), Duration::from_secs(86_400));
        Self {
            max_buffer_records: section.count(
                "max_buffer_records",
                default.max_buffer_records,
                16..=10_000_000,
            ),
            max_buffer_bytes: section.size(
                "max_buffer_bytes",
                default.max_buffer_bytes,
                64 << 10..=1 << 32,
            ),
            max_batch_records: section.count(
                "max_batch_records",
                default.max_batch_records,
                1..=4_096,
            ),
            batch_delay: section.duration(
                "batch_delay",
                default.batch_delay,
                Duration::ZERO..=milli * 1_000,
            ),
            note_delay: section.duration(
                "note_delay",
                default.note_delay,
                Duration::ZERO..=milli * 60_000,
            ),
            resend_delay: section.duration(
                "resend_delay",
                default.resend_delay,
                milli * 10..=milli * 60_000,
            ),
            retain_age: section.duration("retain_age", default.retain_age, day..=day * 3_650),
            retain_bytes: section.size("retain_bytes", default.retain_bytes, 1 << 20..=1 << 50),
        }
    }
}
