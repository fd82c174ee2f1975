//! Settings of one daemon: read from YAML, with all findings reported together.
//!
//! Settings define the location of a host, the parties of the system, timeouts and limits. Rules
//! for requests are not settings: operators control them by labels and selectors, which the system
//! replicates. Each section has a module of its name; the modules are in alphabetical order.

use std::path::{Path, PathBuf};
use std::sync::Arc;

use pollendrift_coordination::base::{DataCentreName, FindingList, HostName, Place};

mod agreement;
mod claims;
mod digest;
mod discovery;
mod drain;
mod entry;
mod evidence;
mod leases;
mod limits;
mod listen;
mod logs;
mod node;
mod parties;
mod placement;
mod quantity;
mod reader;
mod relay;
mod retries;
mod snapshots;
mod tls;

pub use agreement::AgreementSettings;
pub use claims::ClaimSettings;
pub use digest::{DigestError, TokenDigest};
pub use discovery::DiscoverySettings;
pub use drain::DrainSettings;
pub use entry::EntrySettings;
pub use evidence::EvidenceSettings;
pub use leases::LeaseSettings;
pub use limits::LimitSettings;
pub use listen::ListenSettings;
pub use logs::LogSettings;
pub use parties::{
    BackendAuthentication, BackendSettings, CustomerSettings, OperatorRole, OperatorSettings,
    PeerSettings,
};
pub use placement::PlacementSettings;
pub use relay::{AdmissionMode, RelaySettings};
pub use retries::RetrySettings;
pub use snapshots::SnapshotSettings;
pub use tls::{KeyFiles, PlainText, TlsSettings};

use parties::DuplicateFinder;
use reader::{LocatedValue, ReadContext, SectionReader};

/// Maximum size of a settings file in bytes: 1,600 customers and 400 peers need a tenth of it.
const MAX_FILE_BYTES: u64 = 4 << 20;

/// Exit code of `pollendrift check` if the file has errors.
const EXIT_FINDINGS: u8 = 2;

/// Settings of one daemon.
///
/// Invariants of values from [`DaemonSettings::load`]: either hosts find each other by `discovery`,
/// or `peers` contains `host` once, with its `data_centre`, and at least one peer is a keeper; a
/// keeper has a `data_folder`; parties of the same type have distinct names, and no two parties
/// share a token.
#[derive(Clone, Debug)]
pub struct DaemonSettings {
    /// Name of this host.
    pub host: HostName,
    /// Data centre of this host.
    pub data_centre: DataCentreName,
    /// Listening addresses of this host.
    pub listen: ListenSettings,
    /// Folder of the files that must survive a restart; `None` on a host without a disk.
    pub data_folder: Option<PathBuf>,
    /// All hosts of the system, this one included; empty if `discovery` is on.
    pub peers: Vec<PeerSettings>,
    /// Customers; the token of a caller identifies its customer.
    pub customers: Vec<CustomerSettings>,
    /// Operators with their roles and credentials.
    pub operators: Vec<OperatorSettings>,
    /// Authentication of backend servers.
    pub backend_servers: BackendSettings,
    /// Key files, and the rule for plain text.
    pub tls: TlsSettings,
    /// Agreement group of the keepers.
    pub agreement: AgreementSettings,
    /// Claims on non-idempotent calls.
    pub claims: ClaimSettings,
    /// Discovery of hosts if `peers` is empty.
    pub discovery: DiscoverySettings,
    /// Planned stop.
    pub drain: DrainSettings,
    /// Limits on requests and connections of untrusted clients.
    pub entry: EntrySettings,
    /// Buffer and retention of the evidence.
    pub evidence: EvidenceSettings,
    /// Durations of leases.
    pub leases: LeaseSettings,
    /// Limits of admission.
    pub limits: LimitSettings,
    /// Log levels.
    pub logs: LogSettings,
    /// Placement of model versions.
    pub placement: PlacementSettings,
    /// Serving by published routes.
    pub relay: RelaySettings,
    /// Retries of idempotent calls.
    pub retries: RetrySettings,
    /// Thresholds for snapshots of a keeper.
    pub snapshots: SnapshotSettings,
}

/// Accepted settings and the warnings about them.
#[derive(Clone, Debug)]
pub struct LoadedSettings {
    /// Settings without errors.
    pub settings: DaemonSettings,
    /// Warnings, to be logged at the start and shown in the status.
    pub warnings: FindingList,
}

/// Result of `pollendrift check`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CheckReport {
    /// Errors and warnings about the file.
    pub findings: FindingList,
}

impl CheckReport {
    /// Exit code of the process: 2 if there are errors, otherwise 0.
    pub fn exit_code(&self) -> u8 {
        if self.findings.has_errors() {
            EXIT_FINDINGS
        } else {
            0
        }
    }
}

/// Checks the settings file at `path` without starting anything.
pub fn check(path: &Path) -> CheckReport {
    let findings = match DaemonSettings::load(path) {
        Ok(loaded) => loaded.warnings,
        Err(findings) => findings,
    };
    CheckReport { findings }
}

impl DaemonSettings {
    /// Reads the settings file at `path`; relative paths in it are resolved against its folder.
    ///
    /// # Errors
    ///
    /// All findings of the file, warnings included, if any of them is an error.
    pub fn load(path: &Path) -> Result<LoadedSettings, FindingList> {
        let file: Arc<str> = path.display().to_string().into();
        let text = read_file(&file, path)?;
        let folder = path.parent().unwrap_or(Path::new("")).to_owned();
        Self::parse(&file, folder, &text)
    }

    /// Reads settings from `text`. Findings call it `file`; relative paths are resolved against
    /// `folder`.
    ///
    /// # Errors
    ///
    /// All findings of the text, warnings included, if any of them is an error.
    pub fn parse(
        file: &Arc<str>,
        folder: PathBuf,
        text: &str,
    ) -> Result<LoadedSettings, FindingList> {
        let root = node::parse(file, text)?;
        let mut context = ReadContext {
            file: Arc::clone(file),
            folder,
            findings: FindingList::default(),
        };
        let mut section = SectionReader::new(&mut context, "the settings", &root);
        let settings = read(&mut section);
        section.finish();
        match settings {
            Some(settings) if !context.findings.has_errors() => Ok(LoadedSettings {
                settings,
                warnings: context.findings,
            }),
            _ => Err(context.findings),
        }
    }

    /// Settings of this host in the peer list.
    pub fn own_peer(&self) -> Option<&PeerSettings> {
        self.peers.iter().find(|peer| peer.name == self.host)
    }

    /// Whether this host is a keeper: with `discovery`, if it has a data folder; otherwise, if
    /// `peers` marks it as one.
    pub fn is_keeper(&self) -> bool {
        if self.discovery.is_on() {
            return self.data_folder.is_some();
        }
        self.initial_keepers().any(|peer| peer.name == self.host)
    }

    /// Hosts that are voters in the initial membership of the agreement group.
    pub fn initial_keepers(&self) -> impl Iterator<Item = &PeerSettings> {
        self.peers.iter().filter(|peer| peer.keeper)
    }
}

fn read_file(file: &Arc<str>, path: &Path) -> Result<String, FindingList> {
    let read = std::fs::metadata(path).and_then(|metadata| {
        if metadata.len() > MAX_FILE_BYTES {
            return Err(std::io::Error::other(format!(
                "larger than {MAX_FILE_BYTES} bytes"
            )));
        }
        std::fs::read_to_string(path)
    });
    read.map_err(|error| {
        let place = Place {
            file: Arc::clone(file),
            line: 0,
            column: 0,
        };
        let mut findings = FindingList::default();
        findings.error(place, format!("not readable: {error}"), "a YAML file");
        findings
    })
}

/// Reads all sections before it checks for the required ones, so that all findings are reported
/// together.
fn read(section: &mut SectionReader<'_>) -> Option<DaemonSettings> {
    let mut finder = DuplicateFinder::default();
    let host = section.name::<HostName>("host");
    let data_centre = section.name::<DataCentreName>("data_centre");
    let listen = section.section("listen", ListenSettings::read);
    let data_folder = section.path("data_folder");
    let peers = section.list("peers", |item| PeerSettings::read(item, &mut finder));
    let customers = section.list("customers", |item| {
        CustomerSettings::read(item, &mut finder)
    });
    let operators = section.list("operators", |item| {
        OperatorSettings::read(item, &mut finder)
    });
    let backend_servers = section.section("backend_servers", |item| {
        BackendSettings::read(item, &mut finder)
    });
    let tls = section.section("tls", |item| {
        let tls = TlsSettings::read(item);
        if let Some(listen) = &listen {
            tls.report_plain_text(item, listen);
        }
        tls
    });
    let agreement = section.section("agreement", AgreementSettings::read);
    let claims = section.section("claims", ClaimSettings::read);
    let discovery = section.section("discovery", DiscoverySettings::read);
    let drain = section.section("drain", DrainSettings::read);
    let entry = section.section("entry", EntrySettings::read);
    let evidence = section.section("evidence", EvidenceSettings::read);
    let leases = section.section("leases", LeaseSettings::read);
    let limits = section.section("limits", LimitSettings::read);
    let logs = section.section("logs", LogSettings::read);
    let placement = section.section("placement", PlacementSettings::read);
    let relay = section.section("relay", RelaySettings::read);
    let retries = section.section("retries", RetrySettings::read);
    let snapshots = section.section("snapshots", SnapshotSettings::read);
    report_data_folder(section, data_folder.as_ref());
    report_keepers(section, &peers);
    let host = host?;
    let own = OwnHost {
        host: &host.value,
        data_centre: data_centre.as_ref().map(|value| &value.value),
        listen: listen.as_ref(),
        has_data_folder: data_folder.is_some(),
    };
    if discovery.is_on() {
        report_peers_beside_seeds(section, &peers);
    } else {
        own.report(section, &peers);
    }
    Some(DaemonSettings {
        host: host.value,
        data_centre: data_centre?.value,
        listen: listen?,
        data_folder: data_folder.map(|folder| folder.value),
        peers: peers.into_iter().map(|peer| peer.value).collect(),
        customers,
        operators,
        backend_servers,
        tls,
        agreement,
        claims,
        discovery,
        drain,
        entry,
        evidence,
        leases,
        limits,
        logs,
        placement,
        relay,
        retries,
        snapshots,
    })
}

/// Reports peers beside seeds. If the two lists disagreed, some hosts would use one and some the
/// other.
fn report_peers_beside_seeds(
    section: &mut SectionReader<'_>,
    peers: &[LocatedValue<PeerSettings>],
) {
    if let Some(peer) = peers.first() {
        let message = "`peers` and the seeds of `discovery` are both set";
        section.error(
            peer.place.clone(),
            message,
            "one of `peers` and `discovery`",
        );
    }
}

fn report_data_folder(section: &mut SectionReader<'_>, folder: Option<&LocatedValue<PathBuf>>) {
    let Some(folder) = folder else { return };
    if folder.value.is_dir() {
        return;
    }
    // Creating the folder would hide a disk that is not mounted: the keeper would start without its
    // data, as if it had never voted.
    let message = format!("`data_folder`: {} is not a folder", folder.value.display());
    section.error(folder.place.clone(), message, "a folder that exists");
}

fn report_keepers(section: &mut SectionReader<'_>, peers: &[LocatedValue<PeerSettings>]) {
    let keepers: Vec<_> = peers.iter().filter(|peer| peer.value.keeper).collect();
    let Some(last) = keepers.last() else {
        if !peers.is_empty() {
            section.error(
                section.place(),
                "no peer is a keeper, so no configuration can be accepted",
                "`keeper: true` on three or five peers with a data folder",
            );
        }
        return;
    };
    if keepers.len() < 3 {
        let message = format!(
            "a group of {} keeper(s) tolerates no failure",
            keepers.len()
        );
        section.warning(last.place.clone(), message, "three or five keepers");
        return;
    }
    if keepers.len() % 2 == 0 {
        let message = format!(
            "{} keepers tolerate no more failures than one keeper fewer",
            keepers.len()
        );
        section.warning(last.place.clone(), message, "an odd number of keepers");
    }
    let has_majority = |centre: &DataCentreName| {
        let same = keepers
            .iter()
            .filter(|keeper| &keeper.value.data_centre == centre);
        same.count() * 2 > keepers.len()
    };
    let spans_centres = peers
        .iter()
        .any(|peer| peer.value.data_centre != last.value.data_centre);
    if let Some(keeper) = keepers
        .iter()
        .find(|keeper| has_majority(&keeper.value.data_centre))
        && spans_centres
    {
        let message = format!(
            "data centre {} contains most keepers: without it no change can be committed",
            keeper.value.data_centre
        );
        section.warning(
            keeper.place.clone(),
            message,
            "keepers spread over data centres",
        );
    }
}

/// Settings of this host outside the peer list, to compare with its element in the list.
struct OwnHost<'a> {
    host: &'a HostName,
    data_centre: Option<&'a DataCentreName>,
    listen: Option<&'a ListenSettings>,
    has_data_folder: bool,
}

impl OwnHost<'_> {
    fn report(&self, section: &mut SectionReader<'_>, peers: &[LocatedValue<PeerSettings>]) {
        let Some(peer) = peers.iter().find(|peer| &peer.value.name == self.host) else {
            let message = format!("`peers` does not name this host, {}", self.host);
            let expected = "an element with name, data_centre and address of this host";
            section.error(section.place(), message, expected);
            return;
        };
        if self
            .data_centre
            .is_some_and(|centre| *centre != peer.value.data_centre)
        {
            let message = format!(
                "`data_centre` of this host is {} in `peers`",
                peer.value.data_centre
            );
            section.error(
                peer.place.clone(),
                message,
                "the `data_centre` of the top level",
            );
        }
        if peer.value.keeper && !self.has_data_folder {
            let message = "this host is a keeper without a `data_folder`";
            section.error(
                peer.place.clone(),
                message,
                "`data_folder`, or `keeper: false`",
            );
        }
        let Some(listen) = self.listen else { return };
        let same_ip =
            listen.peers.ip().is_unspecified() || listen.peers.ip() == peer.value.address.ip();
        let same_port =
            listen.peers.port() == 0 || listen.peers.port() == peer.value.address.port();
        if !same_ip || !same_port {
            let message = format!(
                "peers would connect to this host at {}, but it listens on {}",
                peer.value.address, listen.peers
            );
            section.error(
                peer.place.clone(),
                message,
                "the address of `listen: {peers: ..}`",
            );
        }
    }
}
