//! `apply`: puts a configuration in force, or says what is known of it.

use std::fmt::Write;
use std::path::Path;

use http::Method;
use pollendrift_coordination::base::Revision;
use pollendrift_coordination::configuration::{ChangeBody, ChangeReply};

use crate::client::{OperatorClient, problem_failure};
use crate::failure::ToolFailure;
use crate::run::ToolOutput;
use crate::text::{read_checked, revision_of};

const CHANGES_PATH: &str = "/operator/v1/changes";
/// Bytes of a change id that is drawn.
const DRAWN_BYTES: usize = 16;

/// Sends a change until a daemon answers it, always under one change id.
///
/// The id is written out before the first try, so that an operator whose terminal dies can still
/// resend the change.
pub(crate) async fn apply(
    client: &OperatorClient,
    change_id: Option<String>,
    based_on: Option<u64>,
    file: &Path,
    output: &mut ToolOutput<'_>,
) -> Result<(), ToolFailure> {
    let checked = read_checked(file)?;
    let based_on = based_on.or_else(|| revision_of(&checked.text));
    let based_on = based_on.ok_or_else(|| ToolFailure::Refused {
        reason: format!(
            "{} does not say which revision it was made from; make it with `pollenctl get`, or \
             give --based-on (0 for the first change)",
            file.display()
        ),
    })?;
    let change_id = match change_id {
        Some(id) => id,
        None => draw_change_id()?,
    };
    output.note(&format!("change {change_id}, based on revision {based_on}"));
    let body = ChangeBody {
        change_id: change_id.as_str().into(),
        based_on: Revision(based_on),
        text: checked.text.into(),
    };
    let body = serde_json::to_vec(&body).map_err(ToolFailure::failed)?;
    let asked = client.ask(&Method::POST, CHANGES_PATH, body.into()).await;
    let unknown = |reason: &str| ToolFailure::Unknown {
        change_id: change_id.clone(),
        based_on,
        reason: reason.trim_end().to_owned(),
    };
    let answer = match asked {
        Ok(answer) => answer,
        Err(none) if none.may_have_run => return Err(unknown(&none.tries)),
        Err(none) => {
            let reason = format!("nothing was changed:\n{}", none.tries.trim_end());
            return Err(ToolFailure::Failed { reason });
        }
    };
    if let Ok(reply) = serde_json::from_slice::<ChangeReply>(&answer.daemon.body) {
        return report(reply, output);
    }
    let failure = problem_failure(&answer.daemon);
    let proved = answer.daemon.status.is_client_error() && !answer.may_have_run;
    if proved {
        Err(failure)
    } else {
        Err(unknown(&failure.to_string()))
    }
}

fn report(reply: ChangeReply, output: &mut ToolOutput<'_>) -> Result<(), ToolFailure> {
    match reply {
        ChangeReply::Accepted { revision, warnings } => {
            output.note(&warnings.to_string());
            output.print(&format!("accepted as revision {revision}"))
        }
        ChangeReply::Refused { findings } => Err(ToolFailure::Findings { findings }),
        ChangeReply::ChangeIdReused => Err(ToolFailure::refused(
            "the change id stands for another change; leave --change-id out to draw a new one",
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

fn draw_change_id() -> Result<String, ToolFailure> {
    let mut bytes = [0_u8; DRAWN_BYTES];
    let random = rustls::crypto::ring::default_provider().secure_random;
    random
        .fill(&mut bytes)
        .map_err(|_| ToolFailure::failed("the system gives no random numbers"))?;
    Ok(bytes.iter().fold(String::new(), |mut id, byte| {
        let _ = write!(id, "{byte:02x}");
        id
    }))
}
