//! Search for the copy from which a stream resumes.

use std::collections::BTreeMap;
use std::fmt;

use super::{DraftDigest, StreamRecord, run_number};
use crate::base::{CustomerName, HostName, TokenPosition};

/// Maximum number of answers in the text of a search, which is one line of a log.
const MAX_LISTED_ANSWERS: usize = 16;

/// Stream that a caller wants to resume.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResumeQuery {
    /// Customer that resumes the stream.
    pub customer: CustomerName,
    /// Digest of the requested draft.
    pub digest: DraftDigest,
    /// First position that the caller has not received.
    pub from: TokenPosition,
}

/// Answer of one host to a look-up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LookUpAnswer {
    /// The host has this copy.
    Copy(StreamRecord),
    /// The host has no copy.
    NoCopy,
    /// The host did not answer and has no copy: its process ended, or the retention is over.
    Gone {
        /// Reason for the log.
        reason: String,
    },
    /// The host did not answer and may have a copy.
    Unreachable {
        /// Reason for the log.
        reason: String,
    },
}

impl fmt::Display for LookUpAnswer {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Copy(record) => {
                let (tokens, attempt) = (record.tokens.len(), record.attempt);
                write!(formatter, "{tokens} tokens of attempt {attempt}")
            }
            Self::NoCopy => formatter.write_str("no copy"),
            Self::Gone { reason } => write!(formatter, "gone, {reason}"),
            Self::Unreachable { reason } => write!(formatter, "not reachable, {reason}"),
        }
    }
}

/// Result of a search.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResumeVerdict {
    /// The stream continues from this copy, which has all tokens that the caller received.
    Resumable(StreamRecord),
    /// The request id belongs to another draft or another customer.
    OtherDraft,
    /// The answer is complete and ends before the position.
    BeyondEnd,
    /// Hosts that may have a copy with all tokens that the caller received did not answer.
    Unreachable {
        /// These hosts, sorted by name.
        hosts: Vec<HostName>,
    },
    /// No host has tokens that the caller received.
    Lost {
        /// Number of tokens that are left.
        stored: usize,
    },
    /// No host has a copy.
    Unknown,
}

impl ResumeVerdict {
    /// Name of the verdict, for logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Resumable(_) => "resumable",
            Self::OtherDraft => "other-draft",
            Self::BeyondEnd => "beyond-end",
            Self::Unreachable { .. } => "unreachable",
            Self::Lost { .. } => "lost",
            Self::Unknown => "unknown",
        }
    }
}

/// Answers of the hosts that a look-up asked.
#[derive(Clone, Debug)]
pub struct StreamSearch {
    query: ResumeQuery,
    answers: BTreeMap<HostName, LookUpAnswer>,
}

impl StreamSearch {
    /// Creates a search without answers.
    pub fn new(query: ResumeQuery) -> Self {
        Self {
            query,
            answers: BTreeMap::new(),
        }
    }

    /// Adds the answer of a host.
    pub fn record(&mut self, host: HostName, answer: LookUpAnswer) {
        self.answers.insert(host, answer);
    }

    /// Whether a copy has all tokens that the caller received.
    pub fn is_resumable(&self) -> bool {
        self.latest().is_some_and(|copy| self.covers(copy))
    }

    /// Decides whether and from which copy the stream continues.
    pub fn verdict(&self) -> ResumeVerdict {
        match self.latest() {
            Some(latest) if self.covers(latest) => ResumeVerdict::Resumable(latest.clone()),
            Some(latest) if latest.finish.is_some() => ResumeVerdict::BeyondEnd,
            None if self.copies().next().is_some() => ResumeVerdict::OtherDraft,
            _ if !self.unreachable().is_empty() => {
                let hosts = self.unreachable();
                ResumeVerdict::Unreachable { hosts }
            }
            Some(latest) => ResumeVerdict::Lost {
                stored: latest.tokens.len(),
            },
            None => ResumeVerdict::Unknown,
        }
    }

    /// The longest copy of the last run. A host that was late or cut off may have an older copy, and
    /// an earlier run may have generated other tokens than the caller received.
    fn latest(&self) -> Option<&StreamRecord> {
        let query = &self.query;
        let matching = self
            .copies()
            .filter(|copy| copy.customer == query.customer && copy.digest == query.digest);
        matching.max_by_key(|copy| (run_number(copy.attempt), copy.tokens.len()))
    }

    fn copies(&self) -> impl Iterator<Item = &StreamRecord> {
        self.answers.values().filter_map(|answer| match answer {
            LookUpAnswer::Copy(record) => Some(record),
            _ => None,
        })
    }

    fn unreachable(&self) -> Vec<HostName> {
        let is_unreachable =
            |answer: &LookUpAnswer| matches!(answer, LookUpAnswer::Unreachable { .. });
        let answers = self.answers.iter();
        let unreachable = answers.filter(|(_, answer)| is_unreachable(answer));
        unreachable.map(|(host, _)| host.clone()).collect()
    }

    fn covers(&self, copy: &StreamRecord) -> bool {
        let from = usize::try_from(self.query.from.0);
        from.is_ok_and(|from| from <= copy.tokens.len())
    }
}

impl fmt::Display for StreamSearch {
    /// Lists the copies, then the hosts without an answer, and counts the hosts without a copy.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let has_copy = |answer: &LookUpAnswer| matches!(answer, LookUpAnswer::Copy(_));
        let (with_copy, others): (Vec<_>, Vec<_>) = self
            .answers
            .iter()
            .partition(|(_, answer)| has_copy(answer));
        let (empty, unanswered): (Vec<_>, Vec<_>) = others
            .into_iter()
            .partition(|(_, answer)| **answer == LookUpAnswer::NoCopy);
        let listed = [with_copy, unanswered].concat();
        for (host, answer) in listed.iter().take(MAX_LISTED_ANSWERS) {
            write!(formatter, "{host}: {answer}; ")?;
        }
        if listed.len() > MAX_LISTED_ANSWERS {
            write!(formatter, "{} more; ", listed.len() - MAX_LISTED_ANSWERS)?;
        }
        write!(formatter, "no copy at {}", empty.len())
    }
}
