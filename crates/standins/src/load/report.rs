//! Counts and latencies of a load.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;
use pollendrift_http::ClientError;

use super::call::CallOutcome;
use super::sent::SentRequest;
use crate::caller::{AnswerError, DraftReply};

const MAX_MICROS: u64 = 120_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// Number of calls by outcome.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Calls that were answered.
    pub answered: u64,
    /// Calls that did not run.
    pub not_run: u64,
    /// Calls that may have run.
    pub unknown: u64,
}

/// Results of a load.
#[derive(Clone, Debug)]
pub struct LoadReport {
    /// Time from the first request to the last answer.
    pub elapsed: Duration,
    /// Drafts with a complete, correct answer.
    pub complete: u64,
    /// Tokens of the complete, correct answers.
    pub tokens: u64,
    /// Drafts with a wrong token in the answer.
    pub wrong: u64,
    /// Drafts whose stream ended without its last event or an error.
    pub incomplete: u64,
    /// Drafts whose stream was interrupted and resumed at another entry.
    pub resumed: u64,
    /// Drafts refused or ended by an error event, by outcome and kind.
    pub refusals: BTreeMap<String, u64>,
    /// Drafts whose entry was unreachable or disconnected, by error.
    pub lost: BTreeMap<String, u64>,
    /// Calls of plain services.
    pub calls: CallCounts,
    /// All sent requests.
    pub sent: Vec<SentRequest>,
    first_token: Option<Histogram<u64>>,
    between_tokens: Option<Histogram<u64>>,
    call_times: Option<Histogram<u64>>,
}

impl Default for LoadReport {
    fn default() -> Self {
        Self::new()
    }
}

impl LoadReport {
    /// Report with zero counts and empty histograms.
    pub fn new() -> Self {
        let histogram = || Histogram::new_with_max(MAX_MICROS, SIGNIFICANT_DIGITS).ok();
        Self {
            elapsed: Duration::ZERO,
            complete: 0,
            tokens: 0,
            wrong: 0,
            incomplete: 0,
            resumed: 0,
            refusals: BTreeMap::new(),
            lost: BTreeMap::new(),
            calls: CallCounts::default(),
            sent: Vec::new(),
            first_token: histogram(),
            between_tokens: histogram(),
            call_times: histogram(),
        }
    }

    /// Counts the reply to one draft after checking it against the expected tokens.
    pub fn record_draft(&mut self, reply: &DraftReply, expected: &[u64]) {
        match reply.check(expected) {
            Ok(()) => self.record_complete(reply),
            Err(AnswerError::Refused { .. }) => self.record_refusal(reply),
            Err(AnswerError::Incomplete { .. }) => self.incomplete += 1,
            Err(AnswerError::WrongToken { .. }) => self.wrong += 1,
        }
    }

    /// Counts a draft whose entry was unreachable or disconnected.
    pub fn record_lost_draft(&mut self, error: &ClientError) {
        let kind = match error {
            ClientError::NotSent { .. } => "not-sent",
            ClientError::NoAnswer { .. } => "no-answer",
            ClientError::BadAnswer { .. } => "bad-answer",
        };
        *self.lost.entry(kind.to_owned()).or_default() += 1;
    }

    /// Counts a service call by outcome; `time` is recorded for answered calls.
    pub fn record_call(&mut self, outcome: CallOutcome, time: Duration) {
        match outcome {
            CallOutcome::Answered(_) => {
                self.calls.answered += 1;
                record_time(&mut self.call_times, time);
            }
            CallOutcome::NotRun(_) | CallOutcome::NotSent(_) => self.calls.not_run += 1,
            CallOutcome::Broken(_) | CallOutcome::Unknown(_) => self.calls.unknown += 1,
        }
    }

    /// Tokens per second of complete, correct answers.
    pub fn tokens_per_second(&self) -> f64 {
        let tokens = u32::try_from(self.tokens).unwrap_or(u32::MAX);
        f64::from(tokens) / self.elapsed.as_secs_f64().max(f64::EPSILON)
    }

    /// Time to the first token at a quantile from 0 to 1.
    pub fn first_token(&self, quantile: f64) -> Duration {
        at_quantile(&self.first_token, quantile)
    }

    /// Time between two tokens at a quantile from 0 to 1.
    pub fn between_tokens(&self, quantile: f64) -> Duration {
        at_quantile(&self.between_tokens, quantile)
    }

    /// Longest time between two tokens of one answer.
    pub fn longest_gap(&self) -> Duration {
        self.between_tokens
            .as_ref()
            .map_or(Duration::ZERO, |times| Duration::from_micros(times.max()))
    }

    /// Time of an answered call at a quantile from 0 to 1.
    pub fn call_time(&self, quantile: f64) -> Duration {
        at_quantile(&self.call_times, quantile)
    }

    fn record_complete(&mut self, reply: &DraftReply) {
        self.complete += 1;
        self.tokens += u64::try_from(reply.texts.len()).unwrap_or(0);
        let Some(first) = reply.arrivals.first() else {
            return;
        };
        record_time(&mut self.first_token, *first);
        for pair in reply.arrivals.windows(2) {
            if let [earlier, later] = pair {
                record_time(&mut self.between_tokens, later.saturating_sub(*earlier));
            }
        }
    }

    fn record_refusal(&mut self, reply: &DraftReply) {
        let Some(report) = &reply.refusal else {
            return;
        };
        let kind = report.type_.rsplit(':').next().unwrap_or("");
        let label = format!(
            "{} {kind} after {} tokens",
            report.outcome,
            if reply.texts.is_empty() { "no" } else { "some" }
        );
        *self.refusals.entry(label).or_default() += 1;
    }
}

fn record_time(histogram: &mut Option<Histogram<u64>>, time: Duration) {
    if let Some(histogram) = histogram {
        let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        histogram.saturating_record(micros);
    }
}

fn at_quantile(histogram: &Option<Histogram<u64>>, quantile: f64) -> Duration {
    histogram.as_ref().map_or(Duration::ZERO, |times| {
        Duration::from_micros(times.value_at_quantile(quantile))
    })
}

impl fmt::Display for LoadReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let millis = |time: Duration| time.as_secs_f64() * 1_000.0;
        writeln!(
            formatter,
            "elapsed            {:.1} s",
            self.elapsed.as_secs_f64()
        )?;
        writeln!(formatter, "whole answers      {}", self.complete)?;
        writeln!(
            formatter,
            "tokens a second    {:.0}",
            self.tokens_per_second()
        )?;
        writeln!(formatter, "wrong answers      {}", self.wrong)?;
        writeln!(formatter, "incomplete answers {}", self.incomplete)?;
        writeln!(formatter, "went on elsewhere  {}", self.resumed)?;
        for (kind, count) in &self.refusals {
            writeln!(formatter, "refused            {count} {kind}")?;
        }
        for (kind, count) in &self.lost {
            writeln!(formatter, "entry lost         {count} {kind}")?;
        }
        writeln!(
            formatter,
            "first token        p50 {:.1} ms, p95 {:.1} ms, p99 {:.1} ms",
            millis(self.first_token(0.5)),
            millis(self.first_token(0.95)),
            millis(self.first_token(0.99))
        )?;
        writeln!(
            formatter,
            "between tokens     p50 {:.1} ms, p95 {:.1} ms, p99 {:.1} ms, longest {:.1} ms",
            millis(self.between_tokens(0.5)),
            millis(self.between_tokens(0.95)),
            millis(self.between_tokens(0.99)),
            millis(self.longest_gap())
        )?;
        writeln!(
            formatter,
            "calls              {} answered, {} not run, {} unknown; p50 {:.1} ms, p99 {:.1} ms",
            self.calls.answered,
            self.calls.not_run,
            self.calls.unknown,
            millis(self.call_time(0.5)),
            millis(self.call_time(0.99))
        )
    }
}
