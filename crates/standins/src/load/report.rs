//! Counts and times of a load.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;
use pollendrift_http::ClientError;

use super::call::CallOutcome;
use super::sent::SentRequest;
use crate::caller::{AnswerFault, DraftReply};

const HIGHEST_MICROS: u64 = 120_000_000;
const DIGITS: u8 = 3;

/// Calls by what their callers were told.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Answered.
    pub answered: u64,
    /// Told that they did not run.
    pub not_run: u64,
    /// Told that they may have run.
    pub unknown: u64,
}

/// What came of a load.
#[derive(Clone, Debug)]
pub struct LoadReport {
    /// Time from the first request to the last answer.
    pub elapsed: Duration,
    /// Drafts whose whole answer was right.
    pub whole: u64,
    /// Tokens of those answers.
    pub tokens: u64,
    /// Drafts whose answer was wrong.
    pub wrong: u64,
    /// Drafts whose stream ended without its last event or an error.
    pub incomplete: u64,
    /// Drafts whose stream broke off and went on at another entry.
    pub resumed: u64,
    /// Drafts refused or ended by an error event, by outcome and kind.
    pub refusals: BTreeMap<String, u64>,
    /// Drafts whose entry could not be reached or broke off, by error.
    pub lost: BTreeMap<String, u64>,
    /// Calls of plain services.
    pub calls: CallCounts,
    /// Every request that was sent.
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
    /// An empty report.
    pub fn new() -> Self {
        let histogram = || Histogram::new_with_max(HIGHEST_MICROS, DIGITS).ok();
        Self {
            elapsed: Duration::ZERO,
            whole: 0,
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

    /// Takes the reply to one draft.
    pub fn take_draft(&mut self, reply: &DraftReply, expected: &[u64]) {
        match reply.check(expected) {
            Ok(()) => self.take_whole(reply),
            Err(AnswerFault::Refused { .. }) => self.take_refusal(reply),
            Err(AnswerFault::Incomplete { .. }) => self.incomplete += 1,
            Err(AnswerFault::WrongToken { .. }) => self.wrong += 1,
        }
    }

    /// Takes a draft whose entry could not be reached or broke off.
    pub fn take_lost_draft(&mut self, error: &ClientError) {
        let kind = match error {
            ClientError::NotSent { .. } => "not-sent",
            ClientError::NoAnswer { .. } => "no-answer",
            ClientError::BadAnswer { .. } => "bad-answer",
        };
        *self.lost.entry(kind.to_owned()).or_default() += 1;
    }

    /// Takes what the caller of a service was told, and how long it took.
    pub fn take_call(&mut self, outcome: CallOutcome, time: Duration) {
        match outcome {
            CallOutcome::Answered(_) => {
                self.calls.answered += 1;
                record(&mut self.call_times, time);
            }
            CallOutcome::NotRun(_) | CallOutcome::NotSent(_) => self.calls.not_run += 1,
            CallOutcome::Broken(_) | CallOutcome::Unknown(_) => self.calls.unknown += 1,
        }
    }

    /// Tokens a second of whole answers.
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

    fn take_whole(&mut self, reply: &DraftReply) {
        self.whole += 1;
        self.tokens += u64::try_from(reply.texts.len()).unwrap_or(0);
        let Some(first) = reply.arrivals.first() else {
            return;
        };
        record(&mut self.first_token, *first);
        for pair in reply.arrivals.windows(2) {
            if let [earlier, later] = pair {
                record(&mut self.between_tokens, later.saturating_sub(*earlier));
            }
        }
    }

    fn take_refusal(&mut self, reply: &DraftReply) {
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

fn record(histogram: &mut Option<Histogram<u64>>, time: Duration) {
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
        writeln!(formatter, "whole answers      {}", self.whole)?;
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
