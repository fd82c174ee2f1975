//! Answers calls of peers to this keeper.
//!
//! A keeper that doesn't lead never forwards a question: it answers with the leader, and the
//! requester calls the leader itself. So a question has one hop, and at most one keeper processes
//! it at a time.

use pollendrift_coordination::agreement::{KeeperId, MembershipChange, RefusalReason};
use pollendrift_coordination::base::HostName;
use tokio::time::timeout;

use super::error::SubmitError;
use super::port::{KeeperPort, KeeperRequest, LocalOutcome};
use crate::peers::{KeeperIntroduction, PeerAnswer, PeerCall, PeerHub, PeerQuestion};

/// Spawns a task that processes the call and sends the answer; returns the call if it is not for a
/// keeper.
pub(super) fn serve_call(
    port: &KeeperPort,
    hub: &PeerHub,
    from: &HostName,
    call: PeerCall,
) -> Option<PeerCall> {
    if matches!(
        call.question,
        PeerQuestion::RequestLookUp(_)
            | PeerQuestion::ConfigurationAfter { .. }
            | PeerQuestion::Operator(_)
    ) {
        return Some(call);
    }
    let port = port.clone();
    let hub = hub.clone();
    let from = from.clone();
    tokio::spawn(async move {
        let number = call.number;
        let work = answer(&port, &hub, &from, call.question);
        // The requester ignores an answer after its timeout.
        let work = hub.work().track("question", Box::pin(work));
        if let Ok(answer) = timeout(call.patience, work).await {
            let _ = hub.answer(&from, number, answer);
        }
    });
    None
}

async fn answer(
    port: &KeeperPort,
    hub: &PeerHub,
    from: &HostName,
    question: PeerQuestion,
) -> PeerAnswer {
    match question {
        PeerQuestion::Submit(command) => {
            let command = command.0.as_ref().into();
            let outcome = port
                .ask(|outcome| KeeperRequest::Submit { command, outcome })
                .await;
            into_answer(outcome, |answer| PeerAnswer::Submitted(answer.into()))
        }
        PeerQuestion::ReadBarrier => {
            let outcome = port.ask(|outcome| KeeperRequest::Read { outcome }).await;
            into_answer(outcome, |index| PeerAnswer::Readable(index.0))
        }
        PeerQuestion::Introduction(requester) => introduce(port, &requester),
        PeerQuestion::Join(keeper) => {
            let accepts_any_host = hub.discovery().is_some();
            join(port, from, keeper, accepts_any_host).await
        }
        PeerQuestion::RequestLookUp(_)
        | PeerQuestion::ConfigurationAfter { .. }
        | PeerQuestion::Operator(_) => PeerAnswer::NotRun {
            reason: "not a question to a keeper".to_owned(),
        },
    }
}

fn into_answer<T, F>(outcome: LocalOutcome<T>, done: F) -> PeerAnswer
where
    F: FnOnce(T) -> PeerAnswer,
{
    match outcome {
        LocalOutcome::Done(value) => done(value),
        LocalOutcome::NotLeader(leader) => PeerAnswer::NotLeader {
            leader: leader.map(|leader| leader.host),
        },
        LocalOutcome::Failed(SubmitError::NotRun { reason }) => PeerAnswer::NotRun { reason },
        LocalOutcome::Failed(SubmitError::Unknown { reason }) => PeerAnswer::Unknown { reason },
    }
}

fn introduce(port: &KeeperPort, requester: &KeeperIntroduction) -> PeerAnswer {
    let Some(mut introduction) = port.introduction() else {
        return PeerAnswer::NotRun {
            reason: "keeper is still starting".to_owned(),
        };
    };
    let membership = port.status().membership;
    let own = &requester.keeper;
    let incarnations = membership
        .keepers()
        .filter(|keeper| keeper.host == own.host);
    let newest = incarnations.map(|keeper| keeper.incarnation).max();
    introduction.outranked_by =
        newest.filter(|newest| !membership.contains(own) && *newest >= own.incarnation);
    PeerAnswer::Introduced(introduction)
}

/// Proposes the next step that adds a keeper to the membership, first as a learner, then as a
/// voter. With `accepts_any_host`, a host that the settings don't name may join too.
async fn join(
    port: &KeeperPort,
    from: &HostName,
    keeper: KeeperId,
    accepts_any_host: bool,
) -> PeerAnswer {
    if keeper.host != *from {
        return PeerAnswer::NotRun {
            reason: "a host joins for itself only".to_owned(),
        };
    }
    let known = port.introduction();
    if !accepts_any_host && !known.is_some_and(|own| own.keepers.contains(from)) {
        return PeerAnswer::NotRun {
            reason: "settings don't name the host as a keeper".to_owned(),
        };
    }
    let membership = port.status().membership;
    let change = if membership.voters.contains(&keeper) {
        return PeerAnswer::Readable(0);
    } else if membership.learners.contains(&keeper) {
        MembershipChange::Promote(keeper)
    } else {
        MembershipChange::AddLearner(keeper)
    };
    let outcome = port
        .ask(|outcome| KeeperRequest::Change { change, outcome })
        .await;
    into_answer(outcome, |index| PeerAnswer::Readable(index.0))
}

/// Whether a refused join step may succeed later without a change of the request.
pub(super) fn is_transient(reason: &str) -> bool {
    [RefusalReason::NotCaughtUp, RefusalReason::ChangePending]
        .iter()
        .any(|refusal| refusal.to_string() == reason)
}
