//! Compares routing policies over 40 engines of four kinds against the max-flow bound.
//!
//! Runs nine planners, one per entry, with simulated engines in virtual time: batched steps, link
//! rates that differ by a factor of 100, and delayed load reports. Each policy gets the same
//! requests, once with more requests than the engines can serve (throughput) and once with Poisson
//! arrivals at 0.8 of the bound (latencies). Prints one table.

mod cache;
mod experiment;
mod failure;
mod fleet;
mod steps;

use bpaf::Bpaf;
use hdrhistogram::Histogram;
use pollendrift_coordination::base::VersionName;
use pollendrift_coordination::routing::{
    FleetPlanner, PolicyKind, RoutePlanner, RoutingSettings, WorkloadMix,
};

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
    /// Engine that dies in the last run, by its number
    #[bpaf(fallback(12))]
    victim: usize,
    /// Print how busy the engines of each kind were in the throughput run
    detail: bool,
}

/// Prints a message and exits with 1.
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
            full.print_utilization(options.seconds);
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
    print_crash(&options, bound.flow);
}

/// Simulates the crash of one engine under the default policy, once with full engines and once at
/// 0.8 of the bound, and prints the remaining throughput and the remaining share of the bound.
fn print_crash(options: &Options, bound: f64) {
    let victim = announcements()[options.victim].server.clone();
    let mut planner = make_planner(RoutingSettings::default(), options.seed, &announcements());
    let find = |planner: &FleetPlanner| planner.bound(&"m".into(), None, &VersionName::from("v1"));
    let before = find(&planner);
    planner.remove(&victim);
    let after = find(&planner);
    let mean = f64::from(WorkloadMix::default().output_tokens);
    let shapes = [
        ("full", LoadShape::Closed(options.concurrency)),
        ("0.8", LoadShape::Open(bound * 0.8 / mean)),
    ];
    println!(
        "death of {victim}: {:.1}% of the bound is left by flow, {:.1}% by compute",
        after.flow / before.flow * 100.0,
        after.compute / before.compute * 100.0
    );
    println!(
        "{:<5} {:>12} {:>8} | {:>8} {:>8} {:>8}",
        "load", "tokens after", "resumed", "next p50", "next p95", "next max"
    );
    for (name, shape) in shapes {
        let run_with = |victim| {
            let mut run = Experiment::new(PolicyKind::default(), options, shape);
            run.schedule_crash(victim, options.seconds);
            run.run(options.seconds);
            run
        };
        let intact = run_with(None);
        let run = run_with(Some(options.victim));
        println!(
            "{name:<5} {:>11.1}% {:>8} | {:>5.0} ms {:>5.0} ms {:>5.0} ms",
            run.tokens_after as f64 / intact.tokens_after as f64 * 100.0,
            run.resumed.len(),
            run.resumed.value_at_quantile(0.5) as f64 / 1e3,
            run.resumed.value_at_quantile(0.95) as f64 / 1e3,
            run.resumed.max() as f64 / 1e3,
        );
    }
}
