//! Publishes a document of routes, and reads it back.
//!
//! A document is the operator's bytes, a source the text in the configuration, and the route table
//! is built from the source in force. Operators number documents themselves and may race each
//! other. The highest version is in force. Each edit is based on the revision that was read, so if
//! two documents race, one of them conflicts and is decided again on top of the other.

use std::sync::Arc;
use std::time::Duration;

use pollendrift_coordination::base::{ChangeId, FindingList, OperatorName, Revision};
use pollendrift_coordination::configuration::{
    ChangeAnswer, Configuration, ConfigurationDigest, EditRequest, PublishedSource,
};
use pollendrift_coordination::replicated::{CommandAnswer, ReplicatedCommand};
use pollendrift_coordination::routes::SourceVersion;
use pollendrift_dialect::{OperatorDialect, OperatorReply};
use tokio::time::{Instant, sleep, timeout_at};

use crate::agreed::AgreedState;
use crate::keeper::KeeperClient;
use crate::state::SharedState;

/// Time limit of one operator request. Operators turn to another host after a second without an
/// answer, so a longer limit would only accumulate work.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// Pause before the next attempt, after a conflict or without a leader.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Operator name in the history for all operators of the platform, which have no separate names.
const PLATFORM_OPERATOR: &str = "platform";

/// Publishes and reads documents of routes.
pub(crate) struct Publisher {
    pub(crate) agreed: Arc<dyn AgreedState>,
    pub(crate) client: KeeperClient,
    /// State of this host's keeper; only hosts with a keeper serve operators.
    pub(crate) shared: Option<SharedState>,
    pub(crate) dialect: Arc<dyn OperatorDialect>,
}

/// Outcome of one attempt to publish.
enum PublishStep {
    /// A document of this version or a higher one is in force.
    Done(SourceVersion),
    /// The keepers refused the text.
    Refused(FindingList),
    /// Another change was applied first, or no keeper was the leader.
    Retry(String),
}

impl Publisher {
    /// Puts a document in force unless its version or a higher one is already in force.
    ///
    /// Retries for [`CALL_TIMEOUT`] by the monotonic clock. An attempt that resumes late, after a
    /// suspension, does no harm: each attempt reads the configuration in force again, and keepers
    /// refuse a change based on an older revision.
    pub(super) async fn publish(&self, text: &[u8]) -> OperatorReply {
        let document = match self.dialect.read_document(text) {
            Ok(document) => document,
            Err(findings) => return OperatorReply::Invalid(findings),
        };
        let Ok(text) = std::str::from_utf8(text) else {
            return unavailable("the document is no text");
        };
        let source = PublishedSource {
            version: document.version,
            text: Arc::from(text),
        };
        let deadline = Instant::now() + CALL_TIMEOUT;
        let mut reason = "no keeper answered in time".to_owned();
        while Instant::now() < deadline {
            let Ok(step) = timeout_at(deadline, self.try_publish(&source)).await else {
                break;
            };
            match step {
                PublishStep::Done(version) => return OperatorReply::Published { version },
                PublishStep::Refused(findings) => return OperatorReply::Invalid(findings),
                PublishStep::Retry(retry_reason) => reason = retry_reason,
            }
            sleep(RETRY_PAUSE).await;
        }
        OperatorReply::Unavailable { reason }
    }

    /// Reads the newest document after a quorum-checked read barrier.
    pub(super) async fn read(&self) -> OperatorReply {
        let deadline = Instant::now() + CALL_TIMEOUT;
        match timeout_at(deadline, self.newest()).await {
            Ok(Ok(configuration)) => configuration
                .source()
                .map_or(OperatorReply::NotPublished, |source| {
                    OperatorReply::Document(Arc::clone(&source.text))
                }),
            Ok(Err(reason)) => OperatorReply::Unavailable { reason },
            Err(_) => unavailable("no keeper answered in time"),
        }
    }

    async fn newest(&self) -> Result<Arc<Configuration>, String> {
        let shared = self.shared.as_ref().ok_or("this host has no keeper")?;
        self.client
            .read_barrier()
            .await
            .map_err(|error| error.to_string())?;
        Ok(shared.configuration())
    }

    async fn try_publish(&self, source: &PublishedSource) -> PublishStep {
        let newest = match self.newest().await {
            Ok(newest) => newest,
            Err(reason) => return PublishStep::Retry(reason),
        };
        if let Some(published) = newest.source()
            && published.version >= source.version
        {
            return PublishStep::Done(published.version);
        }
        let command = ReplicatedCommand::EditConfiguration(edit(&newest, source));
        match self.agreed.submit(command).await {
            Ok(CommandAnswer::Change(ChangeAnswer::Accepted { revision, .. })) => {
                log::info!(version:% = source.version, revision:% = revision; "routes published");
                PublishStep::Done(source.version)
            }
            Ok(CommandAnswer::Change(ChangeAnswer::Refused { findings })) => {
                PublishStep::Refused(findings)
            }
            Ok(CommandAnswer::Change(ChangeAnswer::Conflict(conflict))) => {
                PublishStep::Retry(conflict.to_string())
            }
            Ok(_) => PublishStep::Retry("the keepers answered another command".to_owned()),
            Err(error) => PublishStep::Retry(error.to_string()),
        }
    }
}

/// Returns the edit that replaces the source in `newest` and keeps its labels and selectors.
fn edit(newest: &Configuration, source: &PublishedSource) -> EditRequest {
    let canonical = newest.canonical().with_source(source);
    EditRequest {
        change_id: change_id(newest.revision(), source),
        based_on: newest.revision(),
        operator: OperatorName::from(PLATFORM_OPERATOR),
        changes: newest.canonical().changes_to(&canonical),
        digest: canonical.digest(),
    }
}

/// Returns the same id for the same edit on every host, so that a retry after a lost answer gets
/// that answer again.
fn change_id(based_on: Revision, source: &PublishedSource) -> ChangeId {
    let digest = ConfigurationDigest::of(source.text.as_bytes());
    format!("source-{}-{based_on}-{digest}", source.version).into()
}

fn unavailable(reason: &str) -> OperatorReply {
    OperatorReply::Unavailable {
        reason: reason.to_owned(),
    }
}
