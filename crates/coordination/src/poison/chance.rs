//! Chance that servers end under a request for other reasons.

use super::evidence::Evidence;

/// Returns the chance that a request is on as many of the servers that ended as `evidence` says, if it
/// has nothing to do with their ends and each of its sends is on the fraction `share` of all servers.
///
/// Requests on chains of many servers lose several of them in a row while servers end all the time.
pub(super) fn chance_of(evidence: &Evidence, share: f64) -> f64 {
    let hits = evidence.ends;
    let trials = hits.saturating_add(evidence.others);
    let share = share.clamp(0.0, 1.0);
    // Binomial distribution: 1 less the chance of fewer hits.
    let mut term = (1.0 - share).powf(f64::from(trials));
    if term == 0.0 {
        return 1.0;
    }
    let mut fewer = 0.0;
    for hit in 0..hits {
        fewer += term;
        term *= f64::from(trials - hit) / f64::from(hit + 1) * share / (1.0 - share);
    }
    (1.0 - fewer).max(0.0)
}
