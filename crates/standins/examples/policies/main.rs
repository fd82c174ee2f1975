//! Compares routing policies over 40 engines of four kinds against the max-flow bound.
//!
//! Drives nine planners, one per entry, with fake engine service times in virtual time: batched
//! steps, links that differ a hundredfold, load reports that lag. Each policy meets the same
//! requests, once with more of them than the engines can take (throughput) and once with Poisson
//! arrivals at four fifths of the bound (latencies). Prints one table.

mod experiment;
mod fleet;

use bpaf::Bpaf;
use hdrhistogram::Histogram;
use pollendrift_coordination::base::VersionName;
use pollendrift_coordination::routing::{PolicyKind, RoutePlanner, RoutingSettings, WorkloadMix};

use crate::experiment::{Experiment, LoadShape};
use crate::fleet::{announcements, make_planner};

/// Compares routing policies against the max-flow bound.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct Options {
    /// Seed of requests and planners
    #[bpaf(fallback(7))]
    seed: u64,
    /// Requests under way in the throughput run
    #[bpaf(fallback(1_500))]
    concurrency: u32,
    /// Measured seconds of each run, after a quarter as much to warm up
    #[bpaf(fallback(100))]
    seconds: u64,
    /// Engines compared for each stage
    #[bpaf(fallback(3))]
    candidates: u32,
    /// Print how busy the engines of each kind were in the throughput run
    detail: bool,
}

/// Ends the program with a message.
fn fail(message: &str) -> ! {
    eprintln!("{message}");
    std::process::exit(1)
}

fn main() {
    let options = options().run();
    let announced = announcements();
    let planner = make_planner(RoutingSettings::default(), options.seed, &announced);
    let bound = planner.bound(&"m".into(), None, &VersionName::from("v1"));
    let mean = f64::from(WorkloadMix::default().output_tokens);
    println!("engines {}, seed {}", announced.len(), options.seed);
    println!(
        "bound: {:.0} tokens/s by flow, {:.0} by compute alone",
        bound.flow, bound.compute
    );
    println!(
        "throughput with {} requests under way; latencies at 0.8 of the bound",
        options.concurrency
    );
    println!(
        "{:<18} {:>9} {:>8} {:>9} | {:>9} {:>9} {:>9} {:>9}",
        "policy",
        "tokens/s",
        "of bound",
        "unrouted",
        "first p50",
        "first p95",
        "inter p50",
        "inter p95"
    );
    for policy in PolicyKind::ALL {
        let mut full = Experiment::new(policy, &options, LoadShape::Closed(options.concurrency));
        full.run(options.seconds);
        let rate = full.tokens as f64 / options.seconds as f64;
        if options.detail {
            full.print_busy(options.seconds);
        }
        let arrivals = LoadShape::Open(bound.flow * 0.8 / mean);
        let mut open = Experiment::new(policy, &options, arrivals);
        open.run(options.seconds);
        let millis = |histogram: &Histogram<u64>, quantile| {
            histogram.value_at_quantile(quantile) as f64 / 1e3
        };
        println!(
            "{:<18} {:>9.0} {:>7.1}% {:>9} | {:>6.0} ms {:>6.0} ms {:>6.1} ms {:>6.1} ms",
            policy.to_string(),
            rate,
            rate / bound.flow * 100.0,
            full.unrouted,
            millis(&open.first_token, 0.5),
            millis(&open.first_token, 0.95),
            millis(&open.interval, 0.5),
            millis(&open.interval, 0.95),
        );
    }
}
