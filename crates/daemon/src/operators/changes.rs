//! `POST /operator/v1/changes`: an operator replaces the configuration.

use std::sync::Arc;

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use pollendrift_coordination::configuration::{
    CanonicalText, ChangeAnswer, ChangeBody, ChangeReply, ChangeRequest, ParsedConfiguration,
};
use pollendrift_coordination::evidence::{BodyDigest, ConfigurationChanged, EvidenceEvent};
use pollendrift_coordination::replicated::{CommandAnswer, ReplicatedCommand};
use pollendrift_http::{ResponseBody, json_response, read_json_request};

use super::OperatorContext;
use super::problem::OperatorProblem;
use crate::access::OperatorIdentity;
use crate::agreed::AgreedState;
use crate::keeper::SubmitError;

/// Maximum size of the request body in bytes.
const MAX_CHANGE_BYTES: usize = 8 << 20;

/// Submits a change of the configuration. A resend with the same change id gets the first answer.
pub(super) async fn change_configuration(
    context: &Arc<OperatorContext>,
    operator: &OperatorIdentity,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, OperatorProblem> {
    let limits = context.entry.request_limits(MAX_CHANGE_BYTES);
    let (body, _reservation): (ChangeBody, _) = read_json_request(request, limits)
        .await
        .map_err(|failure| OperatorProblem::bad_body(&failure))?;
    let change = ChangeRequest {
        change_id: body.change_id,
        based_on: body.based_on,
        operator: operator.name.clone(),
        text: body.text,
    };
    let command = ReplicatedCommand::ChangeConfiguration(change.clone());
    let answer = match context.node.submit(command).await {
        Ok(CommandAnswer::Change(answer)) => answer,
        Ok(_) => {
            return Err(OperatorProblem::unknown(
                "keepers sent an answer of an unexpected type".to_owned(),
            ));
        }
        Err(SubmitError::NotRun { reason }) => return Err(OperatorProblem::unavailable(reason)),
        Err(SubmitError::Unknown { reason }) => {
            let advice = "send it again under the same change id to get its outcome";
            return Err(OperatorProblem::unknown(format!("{reason}; {advice}")));
        }
    };
    record_change(context, &change, &answer);
    let reply = ChangeReply::from(answer);
    let status = StatusCode::from_u16(reply.status()).unwrap_or(StatusCode::OK);
    Ok(json_response(status, &reply))
}

/// Records the change and its outcome in the evidence.
fn record_change(context: &OperatorContext, change: &ChangeRequest, answer: &ChangeAnswer) {
    let (revision, reason) = match answer {
        ChangeAnswer::Accepted { revision, .. } => (Some(*revision), String::new()),
        ChangeAnswer::Conflict(conflict) => (None, conflict.to_string()),
        ChangeAnswer::Refused { findings } => (None, findings.to_string()),
        ChangeAnswer::ChangeIdReused => {
            (None, "the change id stands for another change".to_owned())
        }
    };
    let event = EvidenceEvent::ConfigurationChanged(ConfigurationChanged {
        change: change.change_id.clone(),
        operator: change.operator.clone(),
        based_on: change.based_on,
        revision,
        documents: BodyDigest::of(change.text.as_bytes()),
        changed_objects: changed_objects(context, change),
        reason: reason.into(),
    });
    // The change itself is in the replicated history too, which names operator, time and content.
    context.entry.recorder.record_in_background(event);
}

/// Keys of the objects that differ between the change and the configuration of this host.
fn changed_objects(context: &OperatorContext, change: &ChangeRequest) -> Vec<Arc<str>> {
    let Ok(parsed) = ParsedConfiguration::parse(change.change_id.as_str(), &change.text) else {
        return Vec::new();
    };
    let before = context.node.configuration();
    let earlier = before.map_or_else(
        |_| CanonicalText::default(),
        |held| held.canonical().clone(),
    );
    let difference = earlier.difference(parsed.canonical());
    let keys = difference
        .added
        .iter()
        .chain(&difference.removed)
        .chain(&difference.changed);
    keys.map(|key| Arc::from(key.to_string())).collect()
}
