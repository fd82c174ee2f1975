//! Types of the request and response bodies in the HTTP interfaces of pollendrift.
//!
//! `cargo-typify` generates the types from `schema/border.json`. The generated file is committed,
//! so a build needs no generator. `CONTRIBUTING.md` contains the command.

#[allow(
    missing_docs,
    unreachable_pub,
    clippy::all,
    clippy::unwrap_used,
    clippy::expect_used
)]
mod generated;

pub use generated::{
    Announcement, AnnouncementReply, AnnouncementState, ChainLink, ChatMessage, ChatRequest,
    CompleteEvent, CompletionRequest, EngineOffer, EngineOfferRole, FailedEvent, LayerSpan,
    OrderReply, OrderRequest, ProblemReport, ProblemReportOutcome, RouteStage, SequenceEvent,
    SequenceRequest, ServerLoad, ServerOffer, ServiceOffer, StepRefusal, StepRefusalReason,
    StepReply, StepRequest, TokenEvent,
};
