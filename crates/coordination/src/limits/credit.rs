//! Credit for admissions: a minimum rate for low priorities, and a limit on returning callers.

use super::rank::{AdmissionRank, RANKS};

/// Credit that is saved at most, in admissions.
const MAX_CREDIT: f64 = 2.0;
/// Weight of one request in the part of the offered requests that is admitted.
const ADMITTED_GAIN: f64 = 1.0 / 16.0;

/// Credit for admissions of the priorities below urgent.
///
/// An offered request earns its part of an admission times the part of all offered requests that is
/// admitted. Without that factor, a priority that is requested ten times as often as usual would
/// take half of the capacity by its credit.
#[derive(Clone, Copy, Debug)]
pub(super) struct PriorityFloor {
    part: f64,
    /// Saved admissions, by rank; at most [`MAX_CREDIT`].
    credit: [f64; RANKS],
    /// Part of the recently offered requests that were admitted.
    admitted_part: f64,
}

impl PriorityFloor {
    /// Starts without credit; 0 percent is no minimum rate.
    pub(super) fn new(percent: u32) -> Self {
        Self {
            part: f64::from(percent) / 100.0,
            credit: [0.0; RANKS],
            admitted_part: 1.0,
        }
    }

    /// Whether there is a minimum rate.
    pub(super) fn is_active(&self) -> bool {
        self.part > 0.0
    }

    /// Whether a rank has saved a whole admission.
    pub(super) fn is_due(&self, rank: AdmissionRank) -> bool {
        self.credit[rank as usize] >= 1.0
    }

    /// Earns credit for an offered request.
    pub(super) fn record_offer(&mut self, rank: AdmissionRank) {
        self.admitted_part -= ADMITTED_GAIN * self.admitted_part;
        if !matches!(rank, AdmissionRank::Normal | AdmissionRank::Batch) {
            return;
        }
        let credit = &mut self.credit[rank as usize];
        *credit = (*credit + self.part * self.admitted_part.min(1.0)).min(MAX_CREDIT);
    }

    /// Uses up credit for an admission, whether it was admitted by its credit or in its order.
    pub(super) fn record_admission(&mut self, rank: AdmissionRank) {
        self.admitted_part += ADMITTED_GAIN;
        let credit = &mut self.credit[rank as usize];
        *credit = (*credit - 1.0).max(0.0);
    }
}

/// Credit for returning callers that are admitted before others and without a reserve.
///
/// Callers that come back without booked capacity would otherwise keep an overload going after its
/// end: each one displaces a caller that comes back in turn.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReturnCredit {
    /// Part of a return that each admission earns; `None` for no limit.
    part: Option<f64>,
    saved: f64,
}

impl ReturnCredit {
    /// Starts with full credit; 100 percent is no limit.
    pub(super) fn new(percent: u32) -> Self {
        Self {
            part: (percent < 100).then(|| f64::from(percent) / 100.0),
            saved: MAX_CREDIT,
        }
    }

    /// Earns credit for an admission.
    pub(super) fn record_admission(&mut self) {
        self.saved = (self.saved + self.part.unwrap_or_default()).min(MAX_CREDIT);
    }

    /// Returns the credit of a returning caller that was refused.
    pub(super) fn give_back(&mut self) {
        self.saved = (self.saved + 1.0).min(MAX_CREDIT);
    }

    /// Uses up the credit of one returning caller; `false` if there is none.
    pub(super) fn take(&mut self) -> bool {
        if self.part.is_none() {
            return true;
        }
        let has_credit = self.saved >= 1.0;
        if has_credit {
            self.saved -= 1.0;
        }
        has_credit
    }
}
