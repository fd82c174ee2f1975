//! Slow start: a new or returned backend server takes a growing share of the work.

use super::settings::SlowStartSettings;
use crate::base::MonotonicTime;

/// Share of its full work, above 0 and at most 1, that a backend server that joined at `joined`
/// takes at `now`.
///
/// Without it the least loaded server, the one that has just come back with cold caches, would be
/// sent every new request at once. A share that rises linearly keeps the rest in use meanwhile.
pub fn slow_start_share(
    now: MonotonicTime,
    joined: MonotonicTime,
    settings: &SlowStartSettings,
) -> f64 {
    let age = now.since(joined);
    if age >= settings.window {
        return 1.0;
    }
    let first = f64::from(settings.first_percent.clamp(1, 100)) / 100.0;
    let passed = age.as_secs_f64() / settings.window.as_secs_f64();
    first + (1.0 - first) * passed
}
