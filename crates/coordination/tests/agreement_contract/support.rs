//! Nodes, messages and outcomes shared by the contract tests.

use std::collections::BTreeSet;
use std::sync::Arc;

use pollendrift_coordination::agreement::{
    AgreementEffect, AgreementEnvelope, AgreementInput, AgreementMessage, AgreementNode,
    AgreementSettings, AppendRequest, EntryPayload, KeeperId, LogEntry, LogIndex, Membership,
    PersistSequence, ProcessStart, RequestToken, RestoredState, Term, VoteKind, VoteReply,
};
use pollendrift_coordination::base::{HostName, Incarnation, MonotonicTime};

pub(crate) fn keeper(host: &str, incarnation: u64) -> KeeperId {
    KeeperId {
        host: HostName::from(host),
        incarnation: Incarnation(incarnation),
    }
}

pub(crate) fn membership() -> Membership {
    Membership {
        voters: BTreeSet::from([keeper("a", 2), keeper("b", 2), keeper("c", 2)]),
        learners: BTreeSet::new(),
    }
}

pub(crate) fn settings() -> AgreementSettings {
    AgreementSettings {
        max_command_bytes: 16,
        max_uncommitted_entries: 2,
        max_pending_reads: 1,
        ..AgreementSettings::default()
    }
}

pub(crate) fn follower() -> AgreementNode {
    let restored = RestoredState::founding(membership());
    AgreementNode::new(
        settings(),
        keeper("a", 2),
        restored,
        MonotonicTime::START,
        7,
    )
}

pub(crate) fn from_b(message: AgreementMessage) -> AgreementInput {
    from_keeper(keeper("b", 2), message)
}

pub(crate) fn from_keeper(from: KeeperId, message: AgreementMessage) -> AgreementInput {
    AgreementInput::Message(AgreementEnvelope {
        from,
        to: keeper("a", 2),
        start: ProcessStart {
            nonce: 1,
            term: Term(1),
            last_index: LogIndex(1),
        },
        message,
    })
}

pub(crate) fn grant(kind: VoteKind) -> AgreementInput {
    let term = Term(2);
    let granted = true;
    from_b(AgreementMessage::VoteReply(VoteReply {
        kind,
        term,
        granted,
    }))
}

/// A leader of a group of three in term 2, and the time of its election.
pub(crate) fn leader() -> (AgreementNode, MonotonicTime) {
    let mut node = follower();
    let now = node.next_deadline();
    node.tick(now, Vec::new());
    node.tick(now, vec![grant(VoteKind::PreVote)]);
    let synced = AgreementInput::Persisted(PersistSequence(1));
    node.tick(now, vec![synced, grant(VoteKind::Election)]);
    (node, now)
}

pub(crate) fn propose(token: u64, bytes: usize) -> AgreementInput {
    let command = Arc::from(vec![0_u8; bytes]);
    AgreementInput::Propose {
        token: RequestToken(token),
        command,
    }
}

pub(crate) fn append(prev: u64, entries: &[(u64, u64)]) -> AgreementMessage {
    let entry = |(index, term): &(u64, u64)| LogEntry {
        index: LogIndex(*index),
        term: Term(*term),
        payload: EntryPayload::Noop,
    };
    AgreementMessage::Append(AppendRequest {
        term: Term(2),
        prev_index: LogIndex(prev),
        prev_term: Term(1),
        entries: entries.iter().map(entry).collect(),
        commit: LogIndex(1),
    })
}

/// Describes effects with an outcome; leaves out other messages and status changes.
pub(crate) fn outcomes(effects: &[AgreementEffect]) -> Vec<String> {
    let outcome = |effect: &AgreementEffect| match effect {
        AgreementEffect::Proposal { token, outcome } => Some(format!("{token} {outcome:?}")),
        AgreementEffect::Read { token, outcome } => Some(format!("{token} {outcome:?}")),
        AgreementEffect::MembershipChange { outcome, .. } => Some(format!("{outcome:?}")),
        AgreementEffect::HandOver { outcome, .. } => Some(format!("{outcome:?}")),
        AgreementEffect::MessageDropped { reason, .. } => Some(reason.to_string()),
        AgreementEffect::Persist(request) => Some(format!("persist {}", request.entries.len())),
        AgreementEffect::Send(envelope) => match &envelope.message {
            AgreementMessage::AppendReply(reply) => Some(format!("{:?}", reply.outcome)),
            _ => None,
        },
        _ => None,
    };
    effects.iter().filter_map(outcome).collect()
}
