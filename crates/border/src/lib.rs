//! Border types of pollendrift: the bodies that cross its HTTP borders.
//!
//! The types are generated from `schema/border.json` by `cargo-typify` and committed, so a build
//! needs no generator. `CONTRIBUTING.md` gives the command.

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
