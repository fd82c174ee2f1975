//! `GET /operator/v1/status` and `GET /operator/v1/dump`: the state of this daemon.

use http::{Response, StatusCode};
use pollendrift_http::{ResponseBody, json_response};
use serde_json::{Map, Value, json};

use super::{OperatorContext, value_of};
use crate::agreed::AgreedState;
use crate::keeper::KeeperStatus;

/// Returns the state of this daemon, its keeper and its peers.
pub(super) fn status(context: &OperatorContext) -> Response<ResponseBody> {
    let entry = &context.entry;
    let configuration = context.node.configuration();
    let peers: Vec<Value> = context
        .node
        .hub()
        .status()
        .into_iter()
        .map(|peer| {
            json!({
                "host": value_of(&peer.host),
                "address": peer.address.to_string(),
                "up": peer.up,
                "last_error": peer.last_error,
            })
        })
        .collect();
    let body = json!({
        "host": value_of(&entry.host),
        "unready": entry.unready_reason(),
        "revision": configuration.as_ref().ok().map(|current| current.revision().0),
        "configuration": configuration.err().map(|stale| stale.to_string()),
        "life": context.node.incarnation().map(|incarnation| incarnation.0),
        "backend_servers": entry.fleet.serving(entry.clock.now()).len(),
        "access": value_of(context.access.status()),
        "evidence": entry.recorder.get().map(|recorder| value_of(recorder.status())),
        "keeper": context.node.keeper_status().map(keeper_state),
        "peers": peers,
        "warnings": context.warnings,
    });
    json_response(StatusCode::OK, &body)
}

/// Returns the tables of this process, by the name of their source.
pub(super) fn dump(context: &OperatorContext) -> Response<ResponseBody> {
    let parts = context
        .dump
        .iter()
        .map(|source| (source.name().to_owned(), source.dump()));
    json_response(StatusCode::OK, &parts.collect::<Map<String, Value>>())
}

/// Formats the state of a keeper. Only the leader knows the redundancy; it is null elsewhere.
pub(crate) fn keeper_state(status: KeeperStatus) -> Value {
    let redundancy = status.redundancy.as_deref();
    json!({
        "keeper": status.keeper.as_ref().map(ToString::to_string),
        "role": format!("{:?}", status.role).to_lowercase(),
        "term": status.term.0,
        "leader": status.leader.as_ref().map(ToString::to_string),
        "commit": status.commit.0,
        "applied": status.applied.0,
        "membership": value_of(status.membership.as_ref()),
        "redundancy": redundancy.map(value_of),
        "redundancy_whole": redundancy.map(|report| report.is_complete()),
        "stopped": status.stopped.as_deref(),
    })
}
