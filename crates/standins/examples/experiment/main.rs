//! Measures how the cost of decisions, messages and state grows with the size of the installation.
//!
//! Runs the tables, the fleet of the daemon and the codecs at growing sizes with seeded input, fits
//! a line to each series and prints one table. It simulates no network: it fills tables, counts
//! bytes and measures calls. Counts depend only on the seed; times also depend on the machine.

mod changes;
mod chart;
mod clock;
mod fleet;
mod memory;
mod records;
mod routing;
mod series;
mod spreading;

use std::path::PathBuf;

use bpaf::Bpaf;

use crate::series::{Series, print_table, write_csv};

/// Measures how costs grow with the installation.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct Options {
    /// Seed of all input
    #[bpaf(fallback(7))]
    seed: u64,
    /// Only the parts with these names: changes, memory, records, routing, spreading
    #[bpaf(argument("PART"))]
    only: Vec<String>,
    /// Folder that gets series.csv and one SVG for each unit
    #[bpaf(argument("FOLDER"))]
    out: Option<PathBuf>,
}

/// Function that measures one part with a seed.
type PartRun = fn(u64) -> Vec<Series>;

/// Parts in alphabetical order, except that memory runs first, before other parts allocate.
const PARTS: [(&str, PartRun); 5] = [
    ("memory", memory::run),
    ("changes", changes::run),
    ("records", records::run),
    ("routing", routing::run),
    ("spreading", spreading::run),
];

/// Prints a message and exits with 1.
fn fail(message: &str) -> ! {
    eprintln!("{message}");
    std::process::exit(1)
}

fn main() {
    let options = options().run();
    let is_known = |name: &String| PARTS.iter().any(|(part, _)| part == name);
    if let Some(name) = options.only.iter().find(|name| !is_known(name)) {
        fail(&format!(
            "unknown part `{name}`: expected changes, memory, records, routing or spreading"
        ));
    }
    let mut measured = Vec::new();
    for (name, run) in PARTS {
        if options.only.is_empty() || options.only.iter().any(|only| only == name) {
            measured.extend(run(options.seed));
        }
    }
    print_table(options.seed, &measured);
    let Some(folder) = options.out else {
        return;
    };
    let written = write_csv(&folder, &measured).and_then(|()| chart::write(&folder, &measured));
    if let Err(reason) = written {
        fail(&format!("{}: {reason}", folder.display()));
    }
}
