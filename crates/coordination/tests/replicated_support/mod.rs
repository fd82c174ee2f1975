//! Commands for tests of the replicated state.

use std::sync::Arc;

use pollendrift_coordination::base::{Incarnation, MonotonicTime, SequenceNumber, WallTime};
use pollendrift_coordination::replicated::{
    CommandStamp, ReplicatedCommand, ReplicatedEvidenceBatch, StampedCommand,
};

pub(crate) fn stamped(seconds: u64, command: ReplicatedCommand) -> StampedCommand {
    StampedCommand {
        stamp: CommandStamp {
            host: "k1".into(),
            incarnation: Incarnation(1),
            uptime: MonotonicTime::from_millis(seconds * 1_000),
            wall: WallTime(seconds * 1_000),
        },
        command,
    }
}

pub(crate) fn batch(
    writer: u8,
    incarnation: u64,
    first: u64,
    count: u8,
) -> ReplicatedEvidenceBatch {
    ReplicatedEvidenceBatch {
        writer: format!("h{writer}").into(),
        incarnation: Incarnation(incarnation),
        first: SequenceNumber(first),
        records: (0..count).map(|n| Arc::from(vec![writer, n])).collect(),
    }
}
