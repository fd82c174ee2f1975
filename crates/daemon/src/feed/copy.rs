//! This host's copy of the configuration, and how the content of an answer is applied to it.

use std::sync::Arc;

use pollendrift_coordination::base::Revision;
use pollendrift_coordination::configuration::{
    ApplyError, Configuration, ConfigurationDelta, DocumentChange, FollowedConfiguration,
};

use crate::peers::{ConfigurationContent, FrameBytes};

/// Largest estimated size of a delta in bytes; above it the complete text is sent.
///
/// Without this limit a delta larger than a frame is never sent, and the host asks for the same
/// delta again without end, also after its lease has expired. The complete text always fits.
const MAX_DELTA_BYTES: usize = 256 * 1024;

/// Estimated bytes of a change besides its text.
const CHANGE_BYTES: usize = 512;

/// Content of a revision, from this host's own keeper or from another host's keeper.
#[derive(Debug)]
pub(super) enum OfferedContent {
    /// As built by this host's keeper.
    Local(Arc<Configuration>),
    /// As sent by another host.
    Remote(ConfigurationContent),
}

/// Kind and size of a content, for logs.
#[derive(Clone, Copy, Debug)]
pub(super) struct ContentSummary {
    /// Name of the kind.
    pub(super) kind: &'static str,
    /// Approximate size in bytes, before compression; 0 for a content that was not sent.
    pub(super) bytes: u64,
}

impl OfferedContent {
    /// Describes the content.
    pub(super) fn summary(&self) -> ContentSummary {
        let Self::Remote(content) = self else {
            let kind = "local";
            return ContentSummary { kind, bytes: 0 };
        };
        let kind = match content {
            ConfigurationContent::Unchanged => "unchanged",
            ConfigurationContent::Delta(_) => "delta",
            ConfigurationContent::Whole(_) => "whole",
        };
        let bytes = content_bytes(content);
        ContentSummary { kind, bytes }
    }
}

/// Result of applying the content of an answer.
#[derive(Debug)]
pub(super) enum CopyVerdict {
    /// The copy now has this content.
    Applied(Arc<Configuration>),
    /// The content is not needed: the copy is at least as new, or the answer omitted the content.
    NotNeeded,
    /// Another answer advanced the copy while this one was in transit; the host must request a
    /// delta from the new revision.
    StaleBase,
    /// The content is invalid (wrong base revision or digest). The copy is unchanged, and the host
    /// must request the complete text.
    Refused(String),
}

/// This host's copy of the configuration.
#[derive(Debug, Default)]
pub(super) struct ConfigurationCopy {
    followed: FollowedConfiguration,
    /// Whether a content was applied yet; revision 0 alone does not show this, since it is a valid
    /// configuration.
    is_initialized: bool,
}

impl ConfigurationCopy {
    /// Applies the content of `revision` unless the copy is at least as new.
    pub(super) fn apply(&mut self, revision: Revision, content: OfferedContent) -> CopyVerdict {
        if self.is_initialized && revision <= self.followed.current().revision() {
            return CopyVerdict::NotNeeded;
        }
        let applied = match content {
            OfferedContent::Local(built) => self.followed.adopt(built),
            OfferedContent::Remote(ConfigurationContent::Unchanged) => {
                return CopyVerdict::NotNeeded;
            }
            OfferedContent::Remote(ConfigurationContent::Whole(text)) => {
                match std::str::from_utf8(&text.0) {
                    Ok(text) => self.followed.apply_text(revision, text),
                    Err(error) => return CopyVerdict::Refused(error.to_string()),
                }
            }
            OfferedContent::Remote(ConfigurationContent::Delta(delta)) => {
                return self.apply_delta(revision, &delta);
            }
        };
        self.verdict(applied)
    }

    fn apply_delta(&mut self, revision: Revision, delta: &ConfigurationDelta) -> CopyVerdict {
        if !self.is_initialized {
            return CopyVerdict::Refused(
                "received a delta before any complete configuration".to_owned(),
            );
        }
        if delta.to != revision {
            let reason = format!("the delta leads to revision {}, not {revision}", delta.to);
            return CopyVerdict::Refused(reason);
        }
        if delta.from < self.followed.current().revision() {
            return CopyVerdict::StaleBase;
        }
        let applied = self.followed.apply_delta(delta);
        self.verdict(applied)
    }

    fn verdict(&mut self, applied: Result<Arc<Configuration>, ApplyError>) -> CopyVerdict {
        match applied {
            Ok(configuration) => {
                self.is_initialized = true;
                CopyVerdict::Applied(configuration)
            }
            Err(failure) => CopyVerdict::Refused(failure.to_string()),
        }
    }
}

/// Returns the smallest content that brings a host at revision `have` to `configuration`; `delta`
/// starts at `have`.
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
        _ => ConfigurationContent::Whole(full_text(configuration)),
    }
}

/// Approximate size of a content in bytes, before compression.
pub(super) fn content_bytes(content: &ConfigurationContent) -> u64 {
    let bytes = match content {
        ConfigurationContent::Unchanged => 0,
        ConfigurationContent::Delta(delta) => delta_bytes(delta),
        ConfigurationContent::Whole(text) => text.0.len(),
    };
    bytes as u64
}

fn full_text(configuration: &Configuration) -> FrameBytes {
    configuration.canonical().text().into_bytes().into()
}

fn is_small(delta: &ConfigurationDelta) -> bool {
    delta_bytes(delta) <= MAX_DELTA_BYTES
}

fn delta_bytes(delta: &ConfigurationDelta) -> usize {
    let bytes: usize = delta.changes.iter().map(DocumentChange::bytes).sum();
    bytes + delta.changes.len() * CHANGE_BYTES
}

#[cfg(test)]
mod tests;
