//! Measures how the cost of decisions, messages and state grows with the installation.
//!
//! Drives the pure tables, the daemon's fleet and the codecs at growing sizes with seeded input,
//! fits a slope to each series and prints one table. It models no network: it feeds tables, counts
//! bytes and times calls. Counts depend on the seed alone; times on the machine.

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

/// Measures one part.
type PartRun = fn(u64) -> Vec<Series>;

/// Parts, alphabetically but for the memory, which is measured in a fresh process.
const PARTS: [(&str, PartRun); 5] = [
    ("memory", memory::run),
    ("changes", changes::run),
    ("records", records::run),
    ("routing", routing::run),
    ("spreading", spreading::run),
];

/// Ends the program with a message.
fn fail(message: &str) -> ! {
    eprintln!("{message}");
    std::process::exit(1)
}

fn main() {
    let options = options().run();
    let is_known = |name: &String| PARTS.iter().any(|(part, _)| part == name);
    if let Some(name) = options.only.iter().find(|name| !is_known(name)) {
        fail(&format!("there is no part `{name}`"));
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
