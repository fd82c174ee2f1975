//! Settings of one daemon: read from YAML, with all findings reported together.
//!
//! Settings say where a process stands, who belongs and how long it waits. What requests may do is
//! no setting: operators steer it by labels and selectors, which the system itself replicates.
//! Sections are listed alphabetically, each in a module of its name.

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
    BackendProof, BackendSettings, CustomerSettings, OperatorRole, OperatorSettings, PeerSettings,
};
pub use placement::PlacementSettings;
pub use relay::RelaySettings;
pub use retries::RetrySettings;
pub use snapshots::SnapshotSettings;
pub use tls::{KeyFiles, PlainText, TlsSettings};

use parties::DuplicateFinder;
use reader::{PlacedValue, ReadContext, SectionReader};

/// Largest settings file in bytes: 1,600 customers and 400 peers need a tenth of it.
const MAX_FILE_BYTES: u64 = 4 << 20;

/// Exit code of a check that found errors.
const EXIT_FINDINGS: u8 = 2;

/// Settings of one daemon.
///
/// Invariants of every value that [`DaemonSettings::load`] made: either hosts find each other by
/// `discovery`, or `peers` names `host` once, with its own `data_centre`, and at least one peer is a
/// keeper; a keeper has a `data_folder`; no two parties share a name or a token.
#[derive(Clone, Debug)]
pub struct DaemonSettings {
    /// Name of this host.
    pub host: HostName,
    /// Where this host stands.
    pub data_centre: DataCentreName,
    /// Addresses that this host listens on.
    pub listen: ListenSettings,
    /// Folder of the files that survive a restart; `None` on a host without a disk.
    pub data_folder: Option<PathBuf>,
    /// All hosts of the system, this one included.
    pub peers: Vec<PeerSettings>,
    /// Customers, by whose tokens callers are known.
    pub customers: Vec<CustomerSettings>,
    /// Operators.
    pub operators: Vec<OperatorSettings>,
    /// How backend servers come in.
    pub backend_servers: BackendSettings,
    /// TLS and plain text.
    pub tls: TlsSettings,
    /// Agreement of the keepers.
    pub agreement: AgreementSettings,
    /// Claims on calls that may not be repeated.
    pub claims: ClaimSettings,
    /// How hosts find each other where `peers` is empty.
    pub discovery: DiscoverySettings,
    /// Planned stop.
    pub drain: DrainSettings,
    /// Bounds on what strangers can send.
    pub entry: EntrySettings,
    /// Evidence.
    pub evidence: EvidenceSettings,
    /// Leases.
    pub leases: LeaseSettings,
    /// Admission.
    pub limits: LimitSettings,
    /// Logs.
    pub logs: LogSettings,
    /// Placement.
    pub placement: PlacementSettings,
    /// Serving by published routes.
    pub relay: RelaySettings,
    /// Retries.
    pub retries: RetrySettings,
    /// Snapshots.
    pub snapshots: SnapshotSettings,
}

/// Settings that were accepted, and the warnings about them.
#[derive(Clone, Debug)]
pub struct LoadedSettings {
    /// The settings.
    pub settings: DaemonSettings,
    /// Warnings; to be said aloud at the start and in the status.
    pub warnings: FindingList,
}

/// Outcome of `pollendrift check`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CheckReport {
    /// Everything found, errors and warnings.
    pub findings: FindingList,
}

impl CheckReport {
    /// Exit code of the process: 0 without errors, 2 with some.
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
    /// Reads the settings file at `path`.
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

    /// Reads settings from `text`; `file` names it in findings, relative paths start at `folder`.
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

    /// This host's line in the peer list.
    pub fn own_peer(&self) -> Option<&PeerSettings> {
        self.peers.iter().find(|peer| peer.name == self.host)
    }

    /// Whether this host is a keeper: `peers` says so, or it has a disk where hosts find each other.
    pub fn is_keeper(&self) -> bool {
        if self.discovery.is_on() {
            return self.data_folder.is_some();
        }
        self.initial_keepers().any(|peer| peer.name == self.host)
    }

    /// Hosts that vote in the first membership of the agreement group.
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

/// Reads every section, so that all findings come together, and only then looks whether the
/// required ones are there.
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
        report_both_lists(section, &peers);
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

/// Two lists that disagree would split the hosts into those that go by one and those that go by the
/// other.
fn report_both_lists(section: &mut SectionReader<'_>, peers: &[PlacedValue<PeerSettings>]) {
    if let Some(peer) = peers.first() {
        let message = "`peers` lists hosts beside the seeds of `discovery`";
        section.error(
            peer.place.clone(),
            message,
            "one of `peers` and `discovery`",
        );
    }
}

fn report_data_folder(section: &mut SectionReader<'_>, folder: Option<&PlacedValue<PathBuf>>) {
    let Some(folder) = folder else { return };
    if folder.value.is_dir() {
        return;
    }
    // A folder that is made silently would hide a disk that was not mounted: the keeper would
    // start empty, as if it had never voted.
    let message = format!("`data_folder`: {} is no folder", folder.value.display());
    section.error(folder.place.clone(), message, "a folder that exists");
}

fn report_keepers(section: &mut SectionReader<'_>, peers: &[PlacedValue<PeerSettings>]) {
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
        let message = format!("{} keeper(s) survive no loss", keepers.len());
        section.warning(last.place.clone(), message, "three or five keepers");
        return;
    }
    if keepers.len() % 2 == 0 {
        let message = format!(
            "{} keepers survive no more losses than one fewer",
            keepers.len()
        );
        section.warning(last.place.clone(), message, "an odd number of keepers");
    }
    let together = |centre: &DataCentreName| {
        let same = keepers
            .iter()
            .filter(|keeper| &keeper.value.data_centre == centre);
        same.count() * 2 > keepers.len()
    };
    let several = peers
        .iter()
        .any(|peer| peer.value.data_centre != last.value.data_centre);
    if let Some(keeper) = keepers
        .iter()
        .find(|keeper| together(&keeper.value.data_centre))
        && several
    {
        let message = format!(
            "data centre {} holds most keepers: its loss stops every change",
            keeper.value.data_centre
        );
        section.warning(
            keeper.place.clone(),
            message,
            "keepers spread over data centres",
        );
    }
}

/// What the file says of the host itself, to compare with its line in the peer list.
struct OwnHost<'a> {
    host: &'a HostName,
    data_centre: Option<&'a DataCentreName>,
    listen: Option<&'a ListenSettings>,
    has_data_folder: bool,
}

impl OwnHost<'_> {
    fn report(&self, section: &mut SectionReader<'_>, peers: &[PlacedValue<PeerSettings>]) {
        let Some(peer) = peers.iter().find(|peer| &peer.value.name == self.host) else {
            let message = format!("`peers` does not name this host, {}", self.host);
            let expected = "a line with name, data_centre and address of this host";
            section.error(section.place(), message, expected);
            return;
        };
        if self
            .data_centre
            .is_some_and(|centre| *centre != peer.value.data_centre)
        {
            let message = format!("this host stands in {} here", peer.value.data_centre);
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
                "peers would look for this host at {}, but it listens on {}",
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
