//! Measures the duration of calls.

use std::hint::black_box;
use std::time::{Duration, Instant};

/// Minimum duration of one round of calls.
const ROUND: Duration = Duration::from_millis(20);
/// Number of rounds; the fastest counts, because other load on the machine only adds time.
const ROUNDS: u32 = 5;

/// Microseconds per call in the fastest round.
pub(crate) fn micros_per_call<F, T>(mut call: F) -> f64
where
    F: FnMut() -> T,
{
    let mut best = f64::INFINITY;
    for _ in 0..ROUNDS {
        let start = Instant::now();
        let mut calls = 0_u32;
        while start.elapsed() < ROUND {
            black_box(call());
            calls += 1;
        }
        best = best.min(start.elapsed().as_secs_f64() * 1e6 / f64::from(calls));
    }
    best
}
