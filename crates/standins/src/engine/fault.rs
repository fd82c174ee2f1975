//! Faults that a test can inject into a stand-in engine.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// Injected faults; all off by default.
#[derive(Debug, Default)]
pub struct FaultPlan {
    duplicate_tokens: AtomicBool,
    swap_tokens: AtomicBool,
    disconnect_after_tokens: AtomicU64,
    stall_after_tokens: AtomicU64,
    slow_percent: AtomicU64,
    skip_layer: AtomicBool,
    ignore_fencing: AtomicBool,
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

    /// Closes each stream after this many tokens; 0 is off.
    pub fn disconnect_after_tokens(&self, tokens: u64) {
        self.disconnect_after_tokens
            .store(tokens, Ordering::Relaxed);
    }

    /// Sends nothing more after this many tokens but keeps the stream open; 0 is off.
    pub fn stall_after_tokens(&self, tokens: u64) {
        self.stall_after_tokens.store(tokens, Ordering::Relaxed);
    }

    /// Lengthens every computation by this many percent.
    pub fn slow_percent(&self, percent: u64) {
        self.slow_percent.store(percent, Ordering::Relaxed);
    }

    /// Skips the first layer of the stage; the reported chain shows the layers that ran.
    pub fn skip_layer(&self, on: bool) {
        self.skip_layer.store(on, Ordering::Relaxed);
    }

    /// Accepts orders with old fencing numbers. Set it before the first announcement, which states
    /// whether the engine checks fencing numbers.
    pub fn ignore_fencing(&self, on: bool) {
        self.ignore_fencing.store(on, Ordering::Relaxed);
    }

    pub(crate) fn ignores_fencing(&self) -> bool {
        self.ignore_fencing.load(Ordering::Relaxed)
    }

    /// Refuses all work before its first step, like an engine with another version.
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

    pub(crate) fn disconnects_at(&self, sent: u64) -> bool {
        reached(&self.disconnect_after_tokens, sent)
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
