//! A follower's copy of the configuration, updated by deltas.

use std::sync::Arc;

use derive_more::{Display, Error};

use super::canonical::CanonicalText;
use super::checked::DocumentCache;
use super::delta::ConfigurationDelta;
use super::parse::ParsedConfiguration;
use super::table::Configuration;
use crate::base::{FindingList, Revision};

/// Reason why a delta or text was not applied. The copy is unchanged; the follower has to fetch the
/// complete text.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum ApplyError {
    /// The delta starts from another revision.
    #[display("the delta starts from revision {from}, not {held}")]
    OtherStart {
        /// Revision of the copy.
        held: Revision,
        /// Revision that the delta starts from.
        from: Revision,
    },
    /// The held revision is newer.
    #[display("revision {offered} is below {held}")]
    Older {
        /// Revision of the copy.
        held: Revision,
        /// Revision offered.
        offered: Revision,
    },
    /// The result of the delta differs from the content of its sender.
    #[display("revision {offered} has another content than its digest says")]
    OtherContent {
        /// Revision offered.
        offered: Revision,
    },
    /// The text is not a valid configuration, such as a text for a newer version of this software.
    #[display("revision {offered} can't be read: {findings}")]
    NotReadable {
        /// Revision offered.
        offered: Revision,
        /// Findings of the text.
        findings: FindingList,
    },
}

/// The configuration that a follower holds.
///
/// Invariant: the revision never decreases.
#[derive(Clone, Debug, Default)]
pub struct FollowedConfiguration {
    current: Arc<Configuration>,
    /// Documents of the current text, so that a delta parses only the documents that it changes.
    cache: DocumentCache,
}

impl FollowedConfiguration {
    /// The current configuration; empty at revision 0 until the first update.
    pub fn current(&self) -> &Arc<Configuration> {
        &self.current
    }

    /// Replaces the copy with a configuration built in this process.
    ///
    /// # Errors
    /// [`ApplyError::Older`] if its revision is below that of the copy.
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

    /// Replaces the copy with a complete text.
    ///
    /// # Errors
    /// [`ApplyError::Older`] or [`ApplyError::NotReadable`]; the copy is unchanged.
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
        self.replace(revision, text)
    }

    /// Applies a delta that starts from the revision of the copy.
    ///
    /// # Errors
    /// [`ApplyError`] if the delta does not apply; the copy is unchanged.
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
        canonical.apply_without_undo(&delta.changes);
        if canonical.digest() != delta.digest {
            return Err(ApplyError::OtherContent { offered });
        }
        self.replace(offered, &canonical.text())
    }

    fn replace(
        &mut self,
        revision: Revision,
        text: &str,
    ) -> Result<Arc<Configuration>, ApplyError> {
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
