//! Generates a load of checked drafts and keyed service calls, and reports the results.

mod call;
mod comparison;
mod report;
mod sent;

use std::sync::Arc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::sync::Mutex;
use tokio::task::JoinSet;
use tokio::time::Instant;

pub use call::{CallOutcome, ServiceCaller};
pub use comparison::{EvidenceComparison, compare_with_evidence};
pub use report::{CallCounts, LoadReport};
pub use sent::{ObservedOutcome, SentRequest};

use crate::caller::{DraftCaller, DraftParameters, DraftReply};
use crate::fleet::ModelShape;
use crate::token::{StandInWeights, expected_answer};

const WORDS: [&str; 8] = [
    "clause",
    "valve",
    "façade",
    "permit",
    "outage",
    "coastal",
    "isolation",
    "bracket",
];

/// Parameters of a load.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// `ip:port` of every entry; requests are sent to them in turn.
    pub entries: Vec<String>,
    /// Bearer token of the customer.
    pub token: String,
    /// Number of callers that each send drafts one after the other.
    pub draft_callers: u32,
    /// Number of callers that each send keyed service calls one after the other.
    pub service_callers: u32,
    /// Time during which new requests are started.
    pub duration: Duration,
    /// Maximum tokens of each answer.
    pub max_tokens: u32,
    /// Number of random words in each prompt.
    pub prompt_words: u32,
    /// Model that drafts request.
    pub shape: ModelShape,
    /// Seed of the prompts; also part of the call keys.
    pub seed: u64,
    /// Prefix of all request ids; must differ between runs against the same daemons.
    pub id_prefix: String,
}

/// Runs the load and waits for all answers.
pub async fn run_load(plan: &LoadPlan) -> LoadReport {
    let report = Arc::new(Mutex::new(LoadReport::new()));
    let started = Instant::now();
    let mut callers = JoinSet::new();
    for index in 0..plan.draft_callers {
        callers.spawn(draft_loop(
            plan.clone(),
            index,
            started,
            Arc::clone(&report),
        ));
    }
    for index in 0..plan.service_callers {
        callers.spawn(call_loop(plan.clone(), index, started, Arc::clone(&report)));
    }
    while callers.join_next().await.is_some() {}
    let mut report = std::mem::take(&mut *report.lock().await);
    report.elapsed = started.elapsed();
    report
}

async fn draft_loop(plan: LoadPlan, index: u32, started: Instant, report: Arc<Mutex<LoadReport>>) {
    let weights = StandInWeights::new(
        &plan.shape.model,
        &plan.shape.version,
        None,
        plan.shape.layers,
    );
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed ^ u64::from(index));
    let mut entry_index = usize::try_from(index).unwrap_or(0);
    while started.elapsed() < plan.duration {
        let prompt = random_prompt(&mut rng, plan.prompt_words, index);
        let Some(entry) = entry_at(&plan, entry_index) else {
            return;
        };
        entry_index += 1;
        let id = format!("{}-draft-{index}-{entry_index}", plan.id_prefix);
        let caller = DraftCaller::new(entry, &plan.token).with_request_id(&id);
        let parameters = DraftParameters {
            model: &plan.shape.model,
            prompt: &prompt,
            max_tokens: plan.max_tokens,
            id: Some(&id),
            last_position: None,
        };
        let mut reply = caller.stream(&parameters, |_| {}).await;
        let mut resumes = 0;
        if let Ok(reply) = reply.as_mut().map_err(|_| ()) {
            resumes = resume_stream(&plan, entry_index, &parameters, reply).await;
        }
        let expected = expected_answer(&weights, &prompt, plan.max_tokens);
        let received = reply.as_ref().map_or(0, |reply| reply.texts.len());
        let observed = ObservedOutcome::of_draft(&reply);
        let mut report = report.lock().await;
        report.resumed += u64::from(resumes > 0);
        report.sent.push(SentRequest {
            request: id.clone(),
            observed,
            received,
            resumes,
        });
        match reply {
            Ok(reply) => report.record_draft(&reply, &expected),
            Err(error) => report.record_lost_draft(&error),
        }
    }
}

/// Resumes an interrupted stream at the following entries; returns the number of entries that
/// accepted it.
async fn resume_stream(
    plan: &LoadPlan,
    entry_index: usize,
    parameters: &DraftParameters<'_>,
    reply: &mut DraftReply,
) -> usize {
    let interrupted_at = Instant::now();
    let mut resumed = 0;
    for step in 0..plan.entries.len() {
        let Some(last) = reply
            .positions
            .last()
            .copied()
            .filter(|_| reply.is_interrupted())
        else {
            return resumed;
        };
        let Some(entry) = entry_at(plan, entry_index + step) else {
            return resumed;
        };
        let offset = reply.arrivals.last().copied().unwrap_or_default() + interrupted_at.elapsed();
        let parameters = DraftParameters {
            last_position: Some(last),
            ..*parameters
        };
        if let Ok(rest) = DraftCaller::new(entry, &plan.token)
            .stream(&parameters, |_| {})
            .await
        {
            resumed += usize::from(rest.refusal.is_none());
            reply.append_resumed(rest, offset);
        }
    }
    resumed
}

async fn call_loop(plan: LoadPlan, index: u32, started: Instant, report: Arc<Mutex<LoadReport>>) {
    let mut number = 0_u64;
    while started.elapsed() < plan.duration {
        let entry_index =
            usize::try_from(number).unwrap_or(0) + usize::try_from(index).unwrap_or(0);
        let Some(entry) = entry_at(&plan, entry_index) else {
            return;
        };
        let key = format!("{:x}-{index}-{number}", plan.seed);
        number += 1;
        let id = format!("{}-call-{index}-{number}", plan.id_prefix);
        let caller = ServiceCaller::new(entry, &plan.token).with_request_id(&id);
        let sent_at = Instant::now();
        let outcome = caller.post_attestation("portal", &key).await;
        let observed = ObservedOutcome::of_call(&outcome);
        let mut report = report.lock().await;
        report.sent.push(SentRequest {
            request: id,
            observed,
            received: usize::from(observed == ObservedOutcome::Complete),
            resumes: 0,
        });
        report.record_call(outcome, sent_at.elapsed());
    }
}

fn entry_at(plan: &LoadPlan, entry_index: usize) -> Option<&String> {
    plan.entries.get(entry_index % plan.entries.len().max(1))
}

fn random_prompt(rng: &mut ChaCha8Rng, words: u32, caller: u32) -> String {
    let mut prompt = format!("caller{caller}");
    for _ in 0..words {
        let word = WORDS
            .get(rng.random_range(0..WORDS.len()))
            .copied()
            .unwrap_or("clause");
        prompt.push(' ');
        prompt.push_str(word);
    }
    prompt
}
