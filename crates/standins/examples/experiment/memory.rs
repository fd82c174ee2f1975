//! Resident memory of the tables of a daemon by size.
//!
//! Reads the resident size of this process before and after each structure is created. Structures
//! are never freed, and this part runs first. Otherwise reuse of freed memory would hide growth.

use pollendrift_coordination::base::Revision;
use pollendrift_coordination::configuration::FollowedConfiguration;
use pollendrift_coordination::ledger::{LedgerSettings, TokenLedger};

use crate::fail;
use crate::fleet::filled;
use crate::routing::customers_text;
use crate::series::Series;

const SERVERS: [usize; 3] = [4_000, 8_000, 12_000];
const CUSTOMERS: [usize; 3] = [400, 800, 1_600];
const LEDGERS: [usize; 3] = [1_000, 10_000, 50_000];

pub(crate) fn run(seed: u64) -> Vec<Series> {
    let mut servers = Series::new("servers: leases, views, planner", "servers", "KiB");
    for size in SERVERS {
        servers.add(size, growth(|| filled(seed, size)));
    }
    let mut customers = Series::new("configuration that is followed", "customers", "KiB");
    for size in CUSTOMERS {
        customers.add(size, growth(|| follow(size)));
    }
    let mut ledgers = Series::new("ledgers before their first token", "requests", "KiB");
    for size in LEDGERS {
        ledgers.add(size, growth(|| make_ledgers(size)));
    }
    vec![servers, customers, ledgers]
}

/// Growth of the resident size, in KiB, by the result of `make`. The result is leaked, so that the
/// next one can't reuse its memory.
fn growth<F, T>(make: F) -> f64
where
    F: FnOnce() -> T,
{
    let before = resident_kib();
    let value = make();
    let after = resident_kib();
    std::mem::forget(value);
    after - before
}

fn resident_kib() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|rest| rest.trim().trim_end_matches(" kB").parse().ok());
    kib.unwrap_or_else(|| fail("no VmRSS line with a number in /proc/self/status"))
}

fn follow(customers: usize) -> FollowedConfiguration {
    let mut follower = FollowedConfiguration::default();
    if follower
        .apply_text(Revision(1), &customers_text(customers, 5))
        .is_err()
    {
        fail("a follower can't read the experiment's configuration");
    }
    follower
}

fn make_ledgers(count: usize) -> Vec<TokenLedger> {
    let ledger = |number: usize| {
        let request = format!("host-1-{number:08}").into();
        TokenLedger::new(request, 64, "2026-11".into(), LedgerSettings::default())
    };
    (0..count).map(ledger).collect()
}
