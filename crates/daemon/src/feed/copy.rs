//! This host's copy of the configuration, and what becomes of the content of an answer.

use std::sync::Arc;

use pollendrift_coordination::base::Revision;
use pollendrift_coordination::configuration::{
    ApplyError, Configuration, ConfigurationDelta, DocumentChange, FollowedConfiguration,
};

use crate::peers::{ConfigurationContent, FrameBytes};

/// Most bytes that a delta is taken to need; beyond it the whole is sent.
///
/// Without it a delta over the bound of a frame is never sent, the host asks for the same delta
/// again until its lease is over, and nothing ends that. A whole always fits.
const MAX_DELTA_BYTES: usize = 256 * 1024;

/// Bytes that a change is taken to need besides its text.
const CHANGE_BYTES: usize = 512;

/// Content of a revision, from this host's own keeper or another's.
#[derive(Debug)]
pub(super) enum OfferedContent {
    /// As this host's keeper laid it out.
    Local(Arc<Configuration>),
    /// As another host sent it.
    Remote(ConfigurationContent),
}

/// What became of an answer's content.
#[derive(Debug)]
pub(super) enum CopyVerdict {
    /// The copy moved on to it.
    Applied(Arc<Configuration>),
    /// It is not needed: the copy is as new, or the answer left the content out.
    NotNeeded,
    /// Another answer moved the copy while this one was on its way; a delta from there is due.
    StaleBase,
    /// It can't be trusted; the copy is unchanged and the whole is to be asked for.
    Refused(String),
}

/// The copy.
#[derive(Debug, Default)]
pub(super) struct ConfigurationCopy {
    held: FollowedConfiguration,
    /// Whether anything was taken yet; revision 0 is a configuration too.
    begun: bool,
}

impl ConfigurationCopy {
    /// Takes the content of `revision`, unless the copy is as new.
    pub(super) fn apply(&mut self, revision: Revision, content: OfferedContent) -> CopyVerdict {
        if self.begun && revision <= self.held.current().revision() {
            return CopyVerdict::NotNeeded;
        }
        let taken = match content {
            OfferedContent::Local(built) => self.held.adopt(built),
            OfferedContent::Remote(ConfigurationContent::Unchanged) => {
                return CopyVerdict::NotNeeded;
            }
            OfferedContent::Remote(ConfigurationContent::Whole(text)) => {
                match std::str::from_utf8(&text.0) {
                    Ok(text) => self.held.apply_text(revision, text),
                    Err(error) => return CopyVerdict::Refused(error.to_string()),
                }
            }
            OfferedContent::Remote(ConfigurationContent::Delta(delta)) => {
                return self.apply_delta(revision, &delta);
            }
        };
        self.verdict(taken)
    }

    fn apply_delta(&mut self, revision: Revision, delta: &ConfigurationDelta) -> CopyVerdict {
        if !self.begun {
            return CopyVerdict::Refused("a delta came before any whole".to_owned());
        }
        if delta.to != revision {
            let reason = format!("the delta leads to revision {}, not {revision}", delta.to);
            return CopyVerdict::Refused(reason);
        }
        if delta.from < self.held.current().revision() {
            return CopyVerdict::StaleBase;
        }
        let taken = self.held.apply_delta(delta);
        self.verdict(taken)
    }

    fn verdict(&mut self, taken: Result<Arc<Configuration>, ApplyError>) -> CopyVerdict {
        match taken {
            Ok(configuration) => {
                self.begun = true;
                CopyVerdict::Applied(configuration)
            }
            Err(failure) => CopyVerdict::Refused(failure.to_string()),
        }
    }
}

/// The smallest content that leads a host to `configuration`: `delta` starts at what it holds.
pub(super) fn content_for(
    have: Option<Revision>,
    configuration: &Configuration,
    delta: Option<ConfigurationDelta>,
) -> ConfigurationContent {
    if have == Some(configuration.revision()) {
        return ConfigurationContent::Unchanged;
    }
    match delta {
        Some(delta) if delta.to == configuration.revision() && is_small(&delta) => {
            ConfigurationContent::Delta(delta)
        }
        _ => ConfigurationContent::Whole(whole(configuration)),
    }
}

fn whole(configuration: &Configuration) -> FrameBytes {
    configuration.canonical().text().into_bytes().into()
}

fn is_small(delta: &ConfigurationDelta) -> bool {
    let bytes: usize = delta.changes.iter().map(DocumentChange::bytes).sum();
    bytes + delta.changes.len() * CHANGE_BYTES <= MAX_DELTA_BYTES
}

#[cfg(test)]
mod tests;
