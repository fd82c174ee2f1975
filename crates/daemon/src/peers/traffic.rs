//! Counts of the frames that this process queued for its peers, by kind.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};

use super::frame::{PeerAnswer, PeerFrame, PeerQuestion};

/// Frames of one kind, once for each peer that they were queued for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FrameCount {
    /// Number of frames.
    pub frames: u64,
    /// Their encoded size in bytes.
    pub bytes: u64,
}

/// Counts of all kinds. Kinds are fixed names in the code, so their number is limited.
#[derive(Debug, Default)]
pub(super) struct FrameTraffic(Mutex<BTreeMap<&'static str, FrameCount>>);

impl FrameTraffic {
    /// Adds `copies` frames of `bytes` each.
    pub(super) fn record(&self, kind: &'static str, bytes: usize, copies: usize) {
        let mut counts = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let count = counts.entry(kind).or_default();
        count.frames += to_u64(copies);
        count.bytes += to_u64(bytes.saturating_mul(copies));
    }

    pub(super) fn counts(&self) -> BTreeMap<&'static str, FrameCount> {
        let counts = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        counts.clone()
    }
}

/// Name of a frame's kind. Agreement messages are encoded already and have names of their own.
pub(super) fn frame_kind(frame: &PeerFrame) -> &'static str {
    match frame {
        PeerFrame::Hello(_) | PeerFrame::OpenForwarding(_) | PeerFrame::Refusal(_) => "handshake",
        PeerFrame::Heartbeat(_) | PeerFrame::Echo(_) => "link-heartbeat",
        PeerFrame::Agreement(_) => "agreement",
        PeerFrame::Call(call) => question_kind(&call.question),
        PeerFrame::Answer { answer, .. } => answer_kind(answer),
        PeerFrame::Configuration(_) => "configuration",
        PeerFrame::Hosts { .. } => "hosts",
        PeerFrame::Stream(_) => "stream",
        PeerFrame::Leases(_) => "leases",
        PeerFrame::Survey { .. } => "survey",
        PeerFrame::LeaseQuestion(_) | PeerFrame::LeaseNumbers(_) => "lease-question",
    }
}

fn question_kind(question: &PeerQuestion) -> &'static str {
    match question {
        PeerQuestion::Submit(_) => "submit",
        PeerQuestion::ReadBarrier => "read-barrier",
        PeerQuestion::ConfigurationAfter { .. } => "configuration-question",
        PeerQuestion::Operator(_) => "operator-question",
        PeerQuestion::RequestLookUp(_) => "stream-look-up",
        PeerQuestion::Introduction(_) | PeerQuestion::Join(_) => "membership",
    }
}

fn answer_kind(answer: &PeerAnswer) -> &'static str {
    match answer {
        PeerAnswer::Submitted(_) => "submit-answer",
        PeerAnswer::Configuration { .. } => "configuration-answer",
        PeerAnswer::Operator(_) => "operator-answer",
        PeerAnswer::Readable(_) => "read-barrier-answer",
        PeerAnswer::Request(_) => "stream-look-up-answer",
        PeerAnswer::Stored => "confirmation",
        PeerAnswer::Introduced(_) => "membership-answer",
        _ => "other-answer",
    }
}

fn to_u64(number: usize) -> u64 {
    u64::try_from(number).unwrap_or(u64::MAX)
}
