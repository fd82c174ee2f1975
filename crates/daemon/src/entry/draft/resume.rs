//! Resumption of a draft's stream after its entry or the connection to the caller failed.

use http::{HeaderMap, StatusCode};
use pollendrift_coordination::base::{
    AttemptNumber, HostName, RequestId, TokenPosition, VersionName,
};
use pollendrift_coordination::ledger::GeneratedToken;
use pollendrift_coordination::streams::{
    DraftDigest, ResumeQuery, ResumeVerdict, StreamRecord, next_run,
};
use sha2::{Digest, Sha256};

use crate::entry::EntryContext;
use crate::entry::refusal::{Refusal, SHORT_RETRY_AFTER};

/// Header with the position of the last event that the caller received.
const LAST_EVENT_HEADER: &str = "last-event-id";
/// State from which an answer continues.
#[derive(Clone, Debug)]
pub(crate) struct ResumePoint {
    /// Tokens of the answer so far, including those that the caller has not received.
    pub(crate) tokens: Vec<GeneratedToken>,
    /// First position that the caller has not received.
    pub(crate) from: TokenPosition,
    pub(crate) version: VersionName,
    pub(crate) model_layers: u32,
    pub(crate) attempt: AttemptNumber,
    pub(crate) finish: Option<String>,
}

/// Reads the last position that the caller received; `None` unless the caller resumes a stream.
///
/// # Errors
/// Refuses the request if the header is not a position.
pub(crate) fn last_position(headers: &HeaderMap) -> Result<Option<TokenPosition>, Refusal> {
    let Some(value) = headers.get(LAST_EVENT_HEADER) else {
        return Ok(None);
    };
    let position = value.to_str().ok().and_then(|text| text.parse().ok());
    match position {
        Some(position) => Ok(Some(TokenPosition(position))),
        None => Err(Refusal::not_run(
            StatusCode::BAD_REQUEST,
            "last-event-id",
            "Position not understood",
            "`last-event-id` is the id of the last event that was read".to_owned(),
        )),
    }
}

/// Digest of the request fields that determine a draft.
pub(crate) fn draft_digest(
    model: &str,
    adapter: Option<&str>,
    prompt: &str,
    max_tokens: u32,
) -> DraftDigest {
    let mut hasher = Sha256::new();
    for part in [model, adapter.unwrap_or(""), prompt] {
        hasher.update(u64::try_from(part.len()).unwrap_or(u64::MAX).to_be_bytes());
        hasher.update(part);
    }
    hasher.update(max_tokens.to_be_bytes());
    hasher.finalize().into()
}

/// Finds the state from which the stream of `request` continues.
///
/// # Errors
/// Refuses the request if no host that may store the stream has all tokens up to the position.
pub(crate) async fn find_resume(
    context: &EntryContext,
    request: &RequestId,
    query: ResumeQuery,
) -> Result<ResumePoint, Refusal> {
    let from = query.from;
    let verdict = context.streams.find(request, query).await;
    context.metrics.record_resume(verdict.name());
    match verdict {
        ResumeVerdict::Resumable(record) => Ok(resume_point(record, from)),
        ResumeVerdict::OtherDraft => Err(not_resumable("its request id belongs to another draft")),
        ResumeVerdict::BeyondEnd => Err(not_resumable("its answer ends before that position")),
        ResumeVerdict::Unreachable { hosts } => Err(copy_unreachable(&hosts)),
        ResumeVerdict::Lost { stored } => Err(not_resumable(&format!(
            "its last tokens were lost with its entry, {stored} are left"
        ))),
        ResumeVerdict::Unknown => Err(not_resumable("no host knows this stream of this draft")),
    }
}

fn resume_point(record: StreamRecord, from: TokenPosition) -> ResumePoint {
    ResumePoint {
        from,
        version: record.version,
        model_layers: record.model_layers,
        attempt: next_run(record.attempt),
        finish: record.finish,
        tokens: record.tokens,
    }
}

/// Hosts that may have the copy do not answer now; the caller tries again.
fn copy_unreachable(hosts: &[HostName]) -> Refusal {
    let first = hosts.first().map_or("any host", HostName::as_str);
    let others = hosts.len().saturating_sub(1);
    let detail = format!(
        "no answer from {first} and {others} others, which may have the stream; send the same \
         request again"
    );
    Refusal::unknown(
        StatusCode::SERVICE_UNAVAILABLE,
        "copy-unreachable",
        "The stream can't go on now",
        detail,
    )
    .retry_after(SHORT_RETRY_AFTER)
}

fn not_resumable(reason: &str) -> Refusal {
    let detail = format!(
        "{reason}; send the draft without `last-event-id` and with a new `x-request-id` to begin anew"
    );
    Refusal::unknown(
        StatusCode::CONFLICT,
        "not-resumable",
        "The stream can't go on",
        detail,
    )
}
