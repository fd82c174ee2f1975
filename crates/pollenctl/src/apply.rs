//! `apply`: sends a configuration change and reports its outcome.

use std::fmt::Write;
use std::path::Path;

use http::Method;
use pollendrift_coordination::base::Revision;
use pollendrift_coordination::configuration::{ChangeBody, ChangeReply};

use crate::client::{OperatorClient, problem_failure};
use crate::failure::ToolFailure;
use crate::run::ToolOutput;
use crate::text::{base_revision, read_and_check};

const CHANGES_PATH: &str = "/operator/v1/changes";
/// Random bytes of a generated change id.
const CHANGE_ID_BYTES: usize = 16;

/// Sends a change to the daemons in turn until one answers; every attempt uses one change id.
///
/// The id is printed before the first attempt, so that the operator can resend the change after
/// the terminal closes.
///
/// # Errors
/// The file is invalid, the change is refused, or its outcome is unknown.
pub(crate) async fn apply(
    client: &OperatorClient,
    change_id: Option<String>,
    based_on: Option<u64>,
    file: &Path,
    output: &mut ToolOutput<'_>,
) -> Result<(), ToolFailure> {
    let checked = read_and_check(file)?;
    let based_on = based_on.or_else(|| base_revision(&checked.text));
    let based_on = based_on.ok_or_else(|| ToolFailure::Refused {
        reason: format!(
            "{} does not say which revision it was made from; make it with `pollenctl get`, or \
             give --based-on (0 for the first change)",
            file.display()
        ),
    })?;
    let change_id = match change_id {
        Some(id) => id,
        None => generate_change_id()?,
    };
    output.note(&format!("change {change_id}, based on revision {based_on}"));
    let body = ChangeBody {
        change_id: change_id.as_str().into(),
        based_on: Revision(based_on),
        text: checked.text.into(),
    };
    let body = serde_json::to_vec(&body).map_err(ToolFailure::failed)?;
    let result = client
        .send_request(&Method::POST, CHANGES_PATH, body.into())
        .await;
    let unknown = |reason: &str| ToolFailure::Unknown {
        change_id: change_id.clone(),
        based_on,
        reason: reason.trim_end().to_owned(),
    };
    let answer = match result {
        Ok(answer) => answer,
        Err(failure) if failure.may_have_run => return Err(unknown(&failure.attempts)),
        Err(failure) => {
            let reason = format!("nothing was changed:\n{}", failure.attempts.trim_end());
            return Err(ToolFailure::Failed { reason });
        }
    };
    if let Ok(reply) = serde_json::from_slice::<ChangeReply>(&answer.daemon.body) {
        return print_reply(reply, output);
    }
    let failure = problem_failure(&answer.daemon);
    let proves_no_change = answer.daemon.status.is_client_error() && !answer.may_have_run;
    if proves_no_change {
        Err(failure)
    } else {
        Err(unknown(&failure.to_string()))
    }
}

fn print_reply(reply: ChangeReply, output: &mut ToolOutput<'_>) -> Result<(), ToolFailure> {
    match reply {
        ChangeReply::Accepted { revision, warnings } => {
            output.note(&warnings.to_string());
            output.print(&format!("accepted as revision {revision}"))
        }
        ChangeReply::Refused { findings } => Err(ToolFailure::Findings { findings }),
        ChangeReply::ChangeIdReused => Err(ToolFailure::refused(
            "the change id belongs to another change; omit --change-id to generate a new one",
        )),
        ChangeReply::Conflict { conflict } => Err(ToolFailure::Conflict {
            reason: format!(
                "nothing was changed: {conflict}\nget revision {}, make the change again and \
                 apply it",
                conflict.current
            ),
        }),
    }
}

fn generate_change_id() -> Result<String, ToolFailure> {
    let mut bytes = [0_u8; CHANGE_ID_BYTES];
    let random = rustls::crypto::ring::default_provider().secure_random;
    random
        .fill(&mut bytes)
        .map_err(|_| ToolFailure::failed("the system provides no random numbers"))?;
    Ok(bytes.iter().fold(String::new(), |mut id, byte| {
        let _ = write!(id, "{byte:02x}");
        id
    }))
}
