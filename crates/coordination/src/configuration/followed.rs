//! A follower's copy of the configuration, kept current by deltas.

use std::sync::Arc;

use derive_more::{Display, Error};

use super::canonical::CanonicalText;
use super::checked::DocumentCache;
use super::delta::ConfigurationDelta;
use super::parse::ParsedConfiguration;
use super::table::Configuration;
use crate::base::{FindingList, Revision};

/// Why a delta or text was not taken; the copy is unchanged and the whole is to be pulled.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum ApplyError {
    /// The delta starts from another revision.
    #[display("the delta starts from revision {from}, not {held}")]
    OtherStart {
        /// Revision held.
        held: Revision,
        /// Revision that the delta starts from.
        from: Revision,
    },
    /// The revision held is newer.
    #[display("revision {offered} is below {held}")]
    Older {
        /// Revision held.
        held: Revision,
        /// Revision offered.
        offered: Revision,
    },
    /// The delta leads to another content than its sender has.
    #[display("revision {offered} has another content than its digest says")]
    OtherContent {
        /// Revision offered.
        offered: Revision,
    },
    /// The text is no configuration, such as one of a newer version of this software.
    #[display("revision {offered} can't be read: {findings}")]
    NotReadable {
        /// Revision offered.
        offered: Revision,
        /// What is wrong with it.
        findings: FindingList,
    },
}

/// The configuration that a follower holds.
///
/// Invariant: the revision never falls.
#[derive(Clone, Debug, Default)]
pub struct FollowedConfiguration {
    current: Arc<Configuration>,
    /// Documents of the current text; a delta costs what it changes.
    cache: DocumentCache,
}

impl FollowedConfiguration {
    /// The configuration held.
    pub fn current(&self) -> &Arc<Configuration> {
        &self.current
    }

    /// Takes a configuration that was laid out in this process.
    ///
    /// # Errors
    /// It is older than what is held.
    pub fn adopt(
        &mut self,
        configuration: Arc<Configuration>,
    ) -> Result<Arc<Configuration>, ApplyError> {
        let (held, offered) = (self.current.revision(), configuration.revision());
        if offered < held {
            return Err(ApplyError::Older { held, offered });
        }
        self.current = configuration;
        Ok(self.current.clone())
    }

    /// Takes a whole text.
    ///
    /// # Errors
    /// Why it was not taken.
    pub fn apply_text(
        &mut self,
        revision: Revision,
        text: &str,
    ) -> Result<Arc<Configuration>, ApplyError> {
        let held = self.current.revision();
        if revision < held {
            let offered = revision;
            return Err(ApplyError::Older { held, offered });
        }
        self.take(revision, text)
    }

    /// Takes a delta that starts from the revision held.
    ///
    /// # Errors
    /// Why it was not taken.
    pub fn apply_delta(
        &mut self,
        delta: &ConfigurationDelta,
    ) -> Result<Arc<Configuration>, ApplyError> {
        let held = self.current.revision();
        let (from, offered) = (delta.from, delta.to);
        if offered < held {
            return Err(ApplyError::Older { held, offered });
        }
        if from != held {
            return Err(ApplyError::OtherStart { held, from });
        }
        let mut canonical: CanonicalText = self.current.canonical().clone();
        canonical.set(&delta.changes);
        if canonical.digest() != delta.digest {
            return Err(ApplyError::OtherContent { offered });
        }
        self.take(offered, &canonical.text())
    }

    fn take(&mut self, revision: Revision, text: &str) -> Result<Arc<Configuration>, ApplyError> {
        let name = format!("revision {revision}");
        let parsed = ParsedConfiguration::parse_after(&name, text, &mut self.cache);
        let parsed = parsed.map_err(|findings| ApplyError::NotReadable {
            offered: revision,
            findings,
        })?;
        self.current = Arc::new(Configuration::build(revision, &parsed));
        Ok(self.current.clone())
    }
}
