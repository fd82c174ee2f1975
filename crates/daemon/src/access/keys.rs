//! Creates a development authority and certificates of hosts and operators for
//! `pollendrift keys`.

use std::fs::{self, OpenOptions};
use std::io::{self, Write};
use std::net::IpAddr;
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};
use std::time::Duration;

use derive_more::{Display, Error, From};
use pollendrift_coordination::base::WallTime;
use rcgen::{
    BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    KeyUsagePurpose, SanType, date_time_ymd,
};

use super::identity::{HOST_DOMAIN, OPERATOR_DOMAIN};
use crate::settings::KeyFiles;

const AUTHORITY_NAME: &str = "pollendrift development authority";
const AUTHORITY_FILE: &str = "authority.pem";
const AUTHORITY_KEY_FILE: &str = "authority.key";

/// File mode of private keys: only the owner can read them.
const KEY_MODE: u32 = 0o600;
/// File mode of certificates: all users can read them.
const CERTIFICATE_MODE: u32 = 0o644;

/// Error of [`KeyFolder`].
#[derive(Debug, Display, Error, From)]
pub enum KeysError {
    /// A file can't be read, can't be written, or exists already and is not overwritten.
    #[display("{}: {error}", path.display())]
    #[from(ignore)]
    File {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        #[error(source)]
        error: io::Error,
    },
    /// A certificate can't be created, such as for a name that is not a DNS name.
    #[display("certificate: {_0}")]
    Certificate(rcgen::Error),
}

/// Validity period of certificates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Validity {
    /// Start of the period.
    pub from: WallTime,
    /// End of the period.
    pub until: WallTime,
}

/// Subject of a certificate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CertificateRequest {
    /// A host. Callers and operators verify its addresses, peers verify its name.
    Host {
        /// Name of the host in the settings.
        name: String,
        /// IP addresses of the host.
        addresses: Vec<IpAddr>,
    },
    /// An operator, with a certificate for clients only.
    Operator {
        /// Name of the operator in the settings.
        name: String,
    },
}

/// Folder with an authority and the certificates that it signed.
#[derive(Debug)]
pub struct KeyFolder {
    folder: PathBuf,
    issuer: Issuer<'static, KeyPair>,
}

impl KeyFolder {
    /// Opens the authority in `folder`, or creates one that is valid for `validity`.
    ///
    /// # Errors
    ///
    /// If the folder can't be created, or the authority can't be read or written.
    pub fn open(folder: &Path, validity: Validity) -> Result<Self, KeysError> {
        fs::create_dir_all(folder).map_err(|error| file_error(folder, error))?;
        let key_path = folder.join(AUTHORITY_KEY_FILE);
        let params = authority_params(validity);
        let key = if key_path.exists() {
            let pem =
                fs::read_to_string(&key_path).map_err(|error| file_error(&key_path, error))?;
            KeyPair::from_pem(&pem)?
        } else {
            let key = KeyPair::generate()?;
            let certificate = params.self_signed(&key)?;
            write_new(&key_path, &key.serialize_pem(), KEY_MODE)?;
            write_new(
                &folder.join(AUTHORITY_FILE),
                &certificate.pem(),
                CERTIFICATE_MODE,
            )?;
            key
        };
        Ok(Self {
            folder: folder.to_owned(),
            issuer: Issuer::new(params, key),
        })
    }

    /// Creates a key and a certificate that is valid for `validity`, and writes both to files.
    ///
    /// # Errors
    ///
    /// If one of the files exists or can't be written, or the name is not a DNS name.
    pub fn issue(
        &self,
        request: &CertificateRequest,
        validity: Validity,
    ) -> Result<KeyFiles, KeysError> {
        let params = leaf_params(request, validity)?;
        let key = KeyPair::generate()?;
        let certificate = params.signed_by(&key, &self.issuer)?;
        let name = match request {
            CertificateRequest::Host { name, .. } => name.clone(),
            CertificateRequest::Operator { name } => format!("operator-{name}"),
        };
        let files = KeyFiles {
            certificate: self.folder.join(format!("{name}.pem")),
            key: self.folder.join(format!("{name}.key")),
            authority: self.folder.join(AUTHORITY_FILE),
        };
        write_new(&files.key, &key.serialize_pem(), KEY_MODE)?;
        write_new(&files.certificate, &certificate.pem(), CERTIFICATE_MODE)?;
        Ok(files)
    }
}

fn authority_params(validity: Validity) -> CertificateParams {
    let mut params = with_validity(CertificateParams::default(), validity);
    params
        .distinguished_name
        .push(DnType::CommonName, AUTHORITY_NAME);
    params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
    params.key_usages = vec![
        KeyUsagePurpose::KeyCertSign,
        KeyUsagePurpose::DigitalSignature,
    ];
    params
}

fn leaf_params(
    request: &CertificateRequest,
    validity: Validity,
) -> Result<CertificateParams, KeysError> {
    let (name, domain, addresses) = match request {
        CertificateRequest::Host { name, addresses } => (name, HOST_DOMAIN, addresses.as_slice()),
        CertificateRequest::Operator { name } => (name, OPERATOR_DOMAIN, &[][..]),
    };
    let mut params = with_validity(
        CertificateParams::new([format!("{name}.{domain}")])?,
        validity,
    );
    params
        .distinguished_name
        .push(DnType::CommonName, name.as_str());
    let addresses = addresses.iter().map(|address| SanType::IpAddress(*address));
    params.subject_alt_names.extend(addresses);
    params.key_usages = vec![KeyUsagePurpose::DigitalSignature];
    params.extended_key_usages = match request {
        CertificateRequest::Host { .. } => vec![
            ExtendedKeyUsagePurpose::ServerAuth,
            ExtendedKeyUsagePurpose::ClientAuth,
        ],
        CertificateRequest::Operator { .. } => vec![ExtendedKeyUsagePurpose::ClientAuth],
    };
    params.use_authority_key_identifier_extension = true;
    Ok(params)
}

/// Sets the validity period; dates after the year 9999, which X.509 can't represent, are limited to
/// its last day.
fn with_validity(mut params: CertificateParams, validity: Validity) -> CertificateParams {
    let last = date_time_ymd(9999, 12, 31);
    let date = |time: WallTime| {
        let since_epoch = Duration::from_millis(time.0).try_into().ok()?;
        date_time_ymd(1970, 1, 1).checked_add(since_epoch)
    };
    params.not_before = date(validity.from).map_or(last, |date| date.min(last));
    params.not_after = date(validity.until).map_or(last, |date| date.min(last));
    params
}

/// Writes a new file. Fails if it exists, so that a key in use is never replaced by mistake.
fn write_new(path: &Path, text: &str, mode: u32) -> Result<(), KeysError> {
    let mut options = OpenOptions::new();
    options.write(true).create_new(true).mode(mode);
    options
        .open(path)
        .and_then(|mut file| file.write_all(text.as_bytes()))
        .map_err(|error| file_error(path, error))
}

fn file_error(path: &Path, error: io::Error) -> KeysError {
    KeysError::File {
        path: path.to_owned(),
        error,
    }
}
