//! Guards against examples in the interface pages that differ from the body types. Each example
//! must decode into a type and encode back without a lost or added field.

use std::error::Error;
use std::path::Path;

use insta::assert_snapshot;
use pollendrift_border::{
    Announcement, AnnouncementReply, ChatRequest, CompletionRequest, ProblemReport, SequenceEvent,
    SequenceRequest, StepRefusal, StepReply, StepRequest,
};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::{Deserializer, Value};

type BodyCheck = fn(&Value) -> bool;

/// Whether `example` decodes into `T` and encodes back to the same JSON.
fn is_body<T>(example: &Value) -> bool
where
    T: DeserializeOwned + Serialize,
{
    let body: Result<T, _> = serde_json::from_value(example.clone());
    body.ok()
        .and_then(|body| serde_json::to_value(body).ok())
        .is_some_and(|encoded| encoded == *example)
}

fn body_name(example: &Value) -> String {
    let known: [(&str, BodyCheck); 10] = [
        ("Announcement", is_body::<Announcement>),
        ("AnnouncementReply", is_body::<AnnouncementReply>),
        ("ChatRequest", is_body::<ChatRequest>),
        ("CompletionRequest", is_body::<CompletionRequest>),
        ("ProblemReport", is_body::<ProblemReport>),
        ("SequenceEvent", is_body::<SequenceEvent>),
        ("SequenceRequest", is_body::<SequenceRequest>),
        ("StepRefusal", is_body::<StepRefusal>),
        ("StepReply", is_body::<StepReply>),
        ("StepRequest", is_body::<StepRequest>),
    ];
    let found = known.iter().find(|(_, matches)| matches(example));
    let object = || example.get("object").and_then(Value::as_str);
    match found {
        Some((name, _)) => (*name).to_owned(),
        None => format!("unknown body: {}", object().unwrap_or("?")),
    }
}

/// Names of the body types in the JSON blocks and `data:` lines of a page.
fn body_names(page: &str) -> Result<String, Box<dyn Error>> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/interfaces");
    let text = std::fs::read_to_string(path.join(page))?;
    let code: Vec<&str> = text
        .lines()
        .filter_map(|line| line.strip_prefix("    "))
        .map(|line| line.strip_prefix("data: ").unwrap_or(line))
        .filter(|line| !line.starts_with(char::is_alphabetic) && *line != "[DONE]")
        .collect();
    let code = code.join("\n");
    let examples = Deserializer::from_str(&code).into_iter::<Value>();
    let names: Result<Vec<String>, _> = examples
        .map(|example| example.map(|example| body_name(&example)))
        .collect();
    Ok(names?.join("\n"))
}

#[test]
fn examples_in_the_callers_page_match_the_body_types() {
    assert_snapshot!(body_names("callers.md").unwrap(), @r"
    CompletionRequest
    ChatRequest
    unknown body: text_completion
    unknown body: text_completion
    ProblemReport
    unknown body: text_completion
    ProblemReport
    ");
}

#[test]
fn examples_in_the_engines_page_match_the_body_types() {
    assert_snapshot!(body_names("engines.md").unwrap(), @r"
    Announcement
    AnnouncementReply
    SequenceRequest
    SequenceEvent
    SequenceEvent
    SequenceEvent
    StepRequest
    StepReply
    StepRefusal
    ");
}
