//! Times calls.

use std::hint::black_box;
use std::time::{Duration, Instant};

/// Shortest time that one round of calls takes.
const ROUND: Duration = Duration::from_millis(20);
/// Rounds; the quickest counts, since what else runs on the machine only adds.
const ROUNDS: u32 = 5;

/// Microseconds of one call.
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
