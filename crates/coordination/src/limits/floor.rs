//! Minimum rate of admission of the priorities below urgent.

use super::offer::RequestPriority;

/// Credit that a priority saves at most, in admissions.
const MAX_CREDIT: f64 = 2.0;

/// Credit for admissions, by priority.
#[derive(Clone, Copy, Debug)]
pub(super) struct PriorityFloor {
    /// Part of an admission that an offered request earns.
    part: f64,
    /// Saved admissions, by priority; at most [`MAX_CREDIT`].
    credit: [f64; 3],
}

impl PriorityFloor {
    /// Starts without credit; 0 percent is no minimum rate.
    pub(super) fn new(percent: u32) -> Self {
        Self {
            part: f64::from(percent) / 100.0,
            credit: [0.0; 3],
        }
    }

    /// Whether there is a minimum rate.
    pub(super) fn is_active(&self) -> bool {
        self.part > 0.0
    }

    /// Whether a priority has saved a whole admission.
    pub(super) fn is_due(&self, priority: RequestPriority) -> bool {
        self.credit[priority as usize] >= 1.0
    }

    /// Earns credit for an offered request.
    pub(super) fn record_offer(&mut self, priority: RequestPriority) {
        if priority == RequestPriority::Urgent {
            return;
        }
        let credit = &mut self.credit[priority as usize];
        *credit = (*credit + self.part).min(MAX_CREDIT);
    }

    /// Uses up credit for an admission, whether it was admitted by its credit or in its order.
    pub(super) fn record_admission(&mut self, priority: RequestPriority) {
        let credit = &mut self.credit[priority as usize];
        *credit = (*credit - 1.0).max(0.0);
    }
}
