//! Files of the keys, and whether plain text may leave the machine.

use std::path::PathBuf;

use super::listen::ListenSettings;
use super::reader::{PlacedValue, SectionReader};

/// Whether an address off loopback may carry plain text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlainText {
    /// Plain text on loopback only.
    LoopbackOnly,
    /// Plain text anywhere; said aloud at the start and in the status.
    Allowed,
}

/// Files of the host's own certificate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyFiles {
    /// Certificate chain of the host, PEM.
    pub certificate: PathBuf,
    /// Private key of the host, PEM.
    pub key: PathBuf,
    /// Certificates of the authority that signed the hosts' and operators' certificates, PEM.
    pub authority: PathBuf,
}

/// Settings of TLS.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TlsSettings {
    /// Key files; without them every face speaks plain text.
    pub files: Option<KeyFiles>,
    /// Whether plain text may leave the machine.
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
        let any = paths.iter().any(|(_, path)| path.is_some());
        for (key, path) in &paths {
            report_file(section, key, path.as_ref(), any);
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

    /// Reports plain text that would leave the machine: an error unless it is allowed.
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
    path: Option<&PlacedValue<PathBuf>>,
    any: bool,
) {
    match path {
        Some(path) if !path.value.is_file() => {
            let message = format!("`{key}`: {} is no file", path.value.display());
            section.error(path.place.clone(), message, "a PEM file that exists");
        }
        Some(_) => {}
        None if any => section.absent(key, "all of certificate, key and authority, or none"),
        None => {}
    }
}
