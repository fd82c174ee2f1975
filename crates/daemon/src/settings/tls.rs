//! Settings of TLS: key files, and whether plain text may leave the host.

use std::path::PathBuf;

use super::listen::ListenSettings;
use super::reader::{LocatedValue, SectionReader};

/// Whether plain text is allowed on addresses other than loopback.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlainText {
    /// Plain text is allowed on loopback only.
    LoopbackOnly,
    /// Plain text is allowed on all addresses; a warning in the log at the start and in the status
    /// says so.
    Allowed,
}

/// Files of the host's own certificate and of the authority.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyFiles {
    /// PEM file with the certificate chain of the host.
    pub certificate: PathBuf,
    /// PEM file with the private key of the host.
    pub key: PathBuf,
    /// PEM file with the certificates of the authority that signs the certificates of hosts and
    /// operators.
    pub authority: PathBuf,
}

/// Key files and the rule for plain text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TlsSettings {
    /// Key files; `None` if all faces use plain text.
    pub files: Option<KeyFiles>,
    /// Where plain text is allowed.
    pub plain_text: PlainText,
}

impl TlsSettings {
    pub(super) fn read(section: &mut SectionReader<'_>) -> Self {
        let paths = ["certificate", "key", "authority"].map(|key| (key, section.path(key)));
        let choices = [
            ("loopback-only", PlainText::LoopbackOnly),
            ("allowed", PlainText::Allowed),
        ];
        let plain_text = section.choice("plain_text", PlainText::LoopbackOnly, &choices);
        let has_any = paths.iter().any(|(_, path)| path.is_some());
        for (key, path) in &paths {
            report_file(section, key, path.as_ref(), has_any);
        }
        let [certificate, key, authority] = paths.map(|(_, path)| path.map(|path| path.value));
        let files = match (certificate, key, authority) {
            (Some(certificate), Some(key), Some(authority)) => Some(KeyFiles {
                certificate,
                key,
                authority,
            }),
            _ => None,
        };
        Self { files, plain_text }
    }

    /// Reports faces that would send credentials in plain text off the host: a warning if plain
    /// text is allowed, otherwise an error.
    pub(super) fn report_plain_text(
        &self,
        section: &mut SectionReader<'_>,
        listen: &ListenSettings,
    ) {
        if self.files.is_some() {
            return;
        }
        for (key, address) in listen.credential_faces() {
            if address.ip().is_loopback() {
                continue;
            }
            let message = format!("`{key}` on {address} carries credentials in plain text");
            let expected = "`tls` with certificate, key and authority";
            match self.plain_text {
                PlainText::LoopbackOnly => {
                    let expected = format!(
                        "{expected}, a loopback address, or `tls: {{plain_text: allowed}}`"
                    );
                    section.error(section.place(), message, &expected);
                }
                PlainText::Allowed => section.warning(section.place(), message, expected),
            }
        }
    }
}

fn report_file(
    section: &mut SectionReader<'_>,
    key: &'static str,
    path: Option<&LocatedValue<PathBuf>>,
    has_any: bool,
) {
    match path {
        Some(path) if !path.value.is_file() => {
            let message = format!("`{key}`: {} is not a file", path.value.display());
            section.error(path.place.clone(), message, "an existing PEM file");
        }
        Some(_) => {}
        None if has_any => {
            section.report_absent(key, "all of certificate, key and authority, or none")
        }
        None => {}
    }
}
