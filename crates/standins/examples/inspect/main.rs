//! Compares the requests of a load with an export of evidence.
//!
//! Exits with 1 if a request is missing from the evidence, or its recorded outcome contradicts the
//! outcome that its caller observed.

use std::error::Error;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use bpaf::Bpaf;
use pollendrift_standins::load::{EvidenceComparison, SentRequest, compare_with_evidence};

/// Compares the requests that a load sent with an export of evidence.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct InspectOptions {
    /// File that `load --sent` wrote; several may be given
    #[bpaf(argument("FILE"), some("a file of sent requests is expected"))]
    sent: Vec<PathBuf>,
    /// File that `pollenctl evidence export` wrote
    #[bpaf(positional("EXPORT"))]
    export: PathBuf,
}

fn main() -> ExitCode {
    match run(&inspect_options().run()) {
        Ok(report) => {
            print!("{report}");
            if report.is_consistent() {
                return ExitCode::SUCCESS;
            }
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("inspect: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(options: &InspectOptions) -> Result<EvidenceComparison, Box<dyn Error>> {
    let mut sent = Vec::new();
    for file in &options.sent {
        sent.extend(read_sent(file)?);
    }
    let export = std::fs::read_to_string(&options.export)?;
    Ok(compare_with_evidence(&sent, &export)?)
}

fn read_sent(file: &Path) -> Result<Vec<SentRequest>, Box<dyn Error>> {
    let text = std::fs::read_to_string(file)?;
    let mut sent = Vec::new();
    for line in text.lines() {
        sent.push(serde_json::from_str(line)?);
    }
    Ok(sent)
}
