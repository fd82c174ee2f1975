//! Publishing a document of routes, and reading it back.
//!
//! Operators number documents themselves and may race each other. The highest version is in force:
//! a document is put in force only on top of the one that was looked at, so of two that race, one is
//! decided anew on top of the other.

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

/// Time for one call of an operator. Operators turn to another host after a second without an
/// answer, so a longer try would only pile up work.
const CALL_PATIENCE: Duration = Duration::from_millis(900);
/// Pause after a try that met no leader.
const TRY_PAUSE: Duration = Duration::from_millis(50);
/// Name under which operators of the platform stand in the history; they are not told apart.
const PLATFORM_OPERATOR: &str = "platform";

/// Publishes and reads documents.
pub(crate) struct Publisher {
    pub(crate) agreed: Arc<dyn AgreedState>,
    pub(crate) client: KeeperClient,
    /// State of this host's keeper; only hosts with one serve operators.
    pub(crate) shared: Option<SharedState>,
    pub(crate) dialect: Arc<dyn OperatorDialect>,
}

/// What one try came to.
enum PublishStep {
    /// A document of this version or a higher one is in force.
    Done(SourceVersion),
    /// The keepers refused the text.
    Refused(FindingList),
    /// Another change went first, or no keeper led.
    Again(String),
}

impl Publisher {
    /// Puts a document in force, unless its version, or a higher one, is.
    ///
    /// Tries for a time by the steady clock: one that goes on late, after a suspension, finds what
    /// is in force anew, and a change that rests on an older revision is refused.
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
        let deadline = Instant::now() + CALL_PATIENCE;
        let mut reason = "no keeper answered in time".to_owned();
        while Instant::now() < deadline {
            let Ok(step) = timeout_at(deadline, self.try_publish(&source)).await else {
                break;
            };
            match step {
                PublishStep::Done(version) => return OperatorReply::Published { version },
                PublishStep::Refused(findings) => return OperatorReply::Invalid(findings),
                PublishStep::Again(why) => reason = why,
            }
            sleep(TRY_PAUSE).await;
        }
        OperatorReply::Unavailable { reason }
    }

    /// Reads the newest document, behind a quorum.
    pub(super) async fn read(&self) -> OperatorReply {
        let deadline = Instant::now() + CALL_PATIENCE;
        match timeout_at(deadline, self.newest()).await {
            Ok(Ok(configuration)) => configuration
                .source()
                .map_or(OperatorReply::Nothing, |source| {
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
            Err(reason) => return PublishStep::Again(reason),
        };
        if let Some(held) = newest.source()
            && held.version >= source.version
        {
            return PublishStep::Done(held.version);
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
                PublishStep::Again(conflict.to_string())
            }
            Ok(_) => PublishStep::Again("the keepers answered another command".to_owned()),
            Err(error) => PublishStep::Again(error.to_string()),
        }
    }
}

/// The edit that puts `source` on top of `newest`. Labels and selectors beside it stay.
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

/// The same try has the same id wherever it is made, so that a lost answer is given again.
fn change_id(based_on: Revision, source: &PublishedSource) -> ChangeId {
    let digest = ConfigurationDigest::of(source.text.as_bytes());
    format!("source-{}-{based_on}-{digest}", source.version).into()
}

fn unavailable(reason: &str) -> OperatorReply {
    OperatorReply::Unavailable {
        reason: reason.to_owned(),
    }
}
