//! Faults that a stand-in engine brings about on request.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// Faults in force; all off by default.
#[derive(Debug, Default)]
pub struct FaultPlan {
    duplicate_tokens: AtomicBool,
    swap_tokens: AtomicBool,
    cut_after_tokens: AtomicU64,
    stall_after_tokens: AtomicU64,
    slow_percent: AtomicU64,
    skip_layer: AtomicBool,
    refuse_work: AtomicBool,
}

impl FaultPlan {
    /// Sends every token event twice.
    pub fn duplicate_tokens(&self, on: bool) {
        self.duplicate_tokens.store(on, Ordering::Relaxed);
    }

    /// Sends token events in swapped pairs.
    pub fn swap_tokens(&self, on: bool) {
        self.swap_tokens.store(on, Ordering::Relaxed);
    }

    /// Cuts each stream after this many tokens; 0 is off.
    pub fn cut_after_tokens(&self, tokens: u64) {
        self.cut_after_tokens.store(tokens, Ordering::Relaxed);
    }

    /// Falls silent, with the stream open, after this many tokens; 0 is off.
    pub fn stall_after_tokens(&self, tokens: u64) {
        self.stall_after_tokens.store(tokens, Ordering::Relaxed);
    }

    /// Adds this many percent to every computation.
    pub fn slow_percent(&self, percent: u64) {
        self.slow_percent.store(percent, Ordering::Relaxed);
    }

    /// Runs one layer too few, and says so in the chain.
    pub fn skip_layer(&self, on: bool) {
        self.skip_layer.store(on, Ordering::Relaxed);
    }

    /// Refuses all work before its first step, as an engine does that holds another version.
    pub fn refuse_work(&self, on: bool) {
        self.refuse_work.store(on, Ordering::Relaxed);
    }

    pub(crate) fn refuses_work(&self) -> bool {
        self.refuse_work.load(Ordering::Relaxed)
    }

    pub(crate) fn duplicates(&self) -> bool {
        self.duplicate_tokens.load(Ordering::Relaxed)
    }

    pub(crate) fn swaps(&self) -> bool {
        self.swap_tokens.load(Ordering::Relaxed)
    }

    pub(crate) fn cuts_at(&self, sent: u64) -> bool {
        reached(&self.cut_after_tokens, sent)
    }

    pub(crate) fn stalls_at(&self, sent: u64) -> bool {
        reached(&self.stall_after_tokens, sent)
    }

    pub(crate) fn slower_percent(&self) -> u64 {
        self.slow_percent.load(Ordering::Relaxed)
    }

    pub(crate) fn skips_layer(&self) -> bool {
        self.skip_layer.load(Ordering::Relaxed)
    }
}

fn reached(limit: &AtomicU64, sent: u64) -> bool {
    let limit = limit.load(Ordering::Relaxed);
    limit > 0 && sent >= limit
}
