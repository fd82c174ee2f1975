//! Arguments of the command line.

use std::path::PathBuf;

use bpaf::Bpaf;

use crate::address::ServerAddress;

const EXIT_CODES: &str = "Exit codes: 0 done; 1 failed, nothing was changed; 2 input refused; \
    3 another change went first; 4 the outcome is unknown, resend under the same change id; \
    5 the texts differ (diff) or the evidence is not whole (evidence verify)";

/// Operators' command line of pollendrift
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version, footer(EXIT_CODES))]
pub struct CommandLine {
    /// How the daemons are reached.
    #[bpaf(external)]
    pub connection_options: ConnectionOptions,
    /// What to do.
    #[bpaf(external)]
    pub tool_command: ToolCommand,
}

/// How the daemons are reached.
#[derive(Clone, Debug, PartialEq, Eq, Bpaf)]
pub struct ConnectionOptions {
    /// Daemons to ask, separated by commas, as HOST:PORT, http://HOST:PORT or https://HOST:PORT;
    /// each is tried in turn
    #[bpaf(env("POLLENCTL_SERVERS"), argument::<String>("ADDRESSES"), parse(parse_addresses), fallback(Vec::new()))]
    pub servers: Vec<ServerAddress>,
    /// File that holds the operator's token
    #[bpaf(env("POLLENCTL_TOKEN_FILE"), argument("FILE"), optional)]
    pub token_file: Option<PathBuf>,
    /// Certificates (PEM) that https daemons must be signed by
    #[bpaf(env("POLLENCTL_CA_FILE"), argument("FILE"), optional)]
    pub ca_file: Option<PathBuf>,
    /// Seconds that one try may take
    #[bpaf(
        argument("SECONDS"),
        guard(is_valid_timeout, "1 to 600 seconds"),
        fallback(10),
        display_fallback
    )]
    pub timeout: u64,
}

fn is_valid_timeout(seconds: &u64) -> bool {
    (1..=600).contains(seconds)
}

fn parse_addresses(text: String) -> Result<Vec<ServerAddress>, String> {
    text.split(',').map(|part| part.trim().parse()).collect()
}

/// What to do.
#[derive(Clone, Debug, PartialEq, Eq, Bpaf)]
pub enum ToolCommand {
    /// Show the admission of drafts by priority at one host: capacity, share, and who is refused
    #[bpaf(command)]
    Admission {
        /// Address of the host's platform face, as HOST:PORT, which takes no token; without it, the
        /// first daemon of --servers that answers is asked
        #[bpaf(argument::<String>("ADDRESS"), parse(|text| text.parse()), optional)]
        platform: Option<ServerAddress>,
    },
    /// Put a configuration in force; a lost answer is resent under the same change id
    #[bpaf(command)]
    Apply {
        /// Identity of the change, to resend one whose outcome is unknown; drawn if absent
        #[bpaf(argument("ID"), optional)]
        change_id: Option<String>,
        /// Revision that the file was made from; read from the line that `get` writes if absent
        #[bpaf(argument("REVISION"), optional)]
        based_on: Option<u64>,
        /// Configuration file (YAML)
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Check a configuration file without any daemon: all findings with their places
    #[bpaf(command)]
    Check {
        /// Configuration file (YAML)
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Show how a configuration file differs from the one in force; exit 5 if it does
    #[bpaf(command)]
    Diff {
        /// Configuration file (YAML)
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Show every table of one daemon as JSON
    #[bpaf(command)]
    Dump,
    /// Show and verify what happened
    #[bpaf(command)]
    Evidence {
        /// What to do.
        #[bpaf(external)]
        evidence_command: EvidenceCommand,
    },
    /// Show which selector would serve a request, and why the others would not
    #[bpaf(command)]
    Explain {
        /// Whose request
        #[bpaf(argument("NAME"))]
        customer: String,
        /// Model of a draft
        #[bpaf(argument("NAME"), optional)]
        model: Option<String>,
        /// Adapter of a draft
        #[bpaf(argument("NAME"), optional)]
        adapter: Option<String>,
        /// Plain service
        #[bpaf(argument("NAME"), optional)]
        service: Option<String>,
        /// Path of the request
        #[bpaf(argument("PATH"), fallback(String::new()))]
        path: String,
        /// Further attribute, such as header.x-class=urgent; may be given several times
        #[bpaf(argument("KEY=VALUE"), many)]
        attribute: Vec<String>,
    },
    /// Write the configuration in force, or an earlier one, with its revision in the first line
    #[bpaf(command)]
    Get {
        /// Revision; the one in force if absent
        #[bpaf(argument("REVISION"), optional)]
        revision: Option<u64>,
    },
    /// List accepted changes, newest first
    #[bpaf(command)]
    History {
        /// Only changes below this revision
        #[bpaf(argument("REVISION"), optional)]
        before: Option<u64>,
        /// Most changes
        #[bpaf(argument("COUNT"), fallback(100), display_fallback)]
        limit: usize,
    },
    /// Show the revision in force at each daemon, or what was in force at a time
    #[bpaf(command("in-force"))]
    InForce {
        /// Time, as 2026-03-01T23:15:00Z or milliseconds since 1970
        #[bpaf(argument("TIME"), optional)]
        at: Option<String>,
    },
    /// Show why a draft was refused for lack of capacity, from the last refusals of all hosts
    #[bpaf(command)]
    Refusal {
        /// Id of the draft, as its caller stated it
        #[bpaf(positional("ID"))]
        request: String,
    },
    /// Make one HTML page with plots of an exported file, without any daemon
    #[bpaf(command)]
    Report {
        /// File that `evidence export` wrote
        #[bpaf(positional("EXPORT"))]
        export: PathBuf,
        /// Page to write; it must not exist
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Show the state of one daemon, its keepers and its peers as JSON
    #[bpaf(command)]
    Status,
}

/// What to do with evidence.
#[derive(Clone, Debug, PartialEq, Eq, Bpaf)]
pub enum EvidenceCommand {
    /// List records as JSON lines
    #[bpaf(command)]
    Find {
        /// Only records of this request
        #[bpaf(argument("ID"), optional)]
        request: Option<String>,
        /// Only records of this customer
        #[bpaf(argument("NAME"), optional)]
        customer: Option<String>,
        /// Only records with this outcome
        #[bpaf(argument("OUTCOME"), optional)]
        outcome: Option<String>,
        /// Only records of this selector
        #[bpaf(argument("NAME"), optional)]
        selector: Option<String>,
        /// Only records from this time on
        #[bpaf(argument("TIME"), optional)]
        from: Option<String>,
        /// Only records before this time
        #[bpaf(argument("TIME"), optional)]
        until: Option<String>,
        /// Most records
        #[bpaf(argument("COUNT"), fallback(100), display_fallback)]
        limit: usize,
    },
    /// Tell the story of one request
    #[bpaf(command)]
    Show {
        /// Request id
        #[bpaf(positional("ID"))]
        request: String,
    },
    /// Write records to a file that can be verified without any daemon
    #[bpaf(command)]
    Export {
        /// Only records from this time on
        #[bpaf(argument("TIME"), optional)]
        from: Option<String>,
        /// Only records before this time
        #[bpaf(argument("TIME"), optional)]
        until: Option<String>,
        /// File to write; it must not exist
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Verify an exported file without any daemon; exit 5 if it is not whole
    #[bpaf(command)]
    Verify {
        /// Heads noted earlier (JSON lines), which must lie on the exported chains
        #[bpaf(argument("FILE"), optional)]
        heads: Option<PathBuf>,
        /// Exported file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
}
