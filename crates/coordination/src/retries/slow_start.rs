//! Slow start: a new or returned backend server receives a growing share of the work.

use super::settings::SlowStartSettings;
use crate::base::MonotonicTime;

/// Returns the share of its full work, above 0 and at most 1, that a backend server which joined at
/// `joined` receives at `now`. The share rises linearly.
///
/// Without slow start, a server that has just returned with cold caches is the least loaded one and
/// receives every new request. With it, the other servers stay in use meanwhile.
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
    let elapsed = age.as_secs_f64() / settings.window.as_secs_f64();
    first + (1.0 - first) * elapsed
}
