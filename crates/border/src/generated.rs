#![allow(clippy::redundant_closure_call)]
#![allow(clippy::needless_lifetimes)]
#![allow(clippy::match_single_binding)]
#![allow(clippy::clone_on_copy)]

#[doc = "A backend server announces itself to any entry; sent again as heartbeat."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct Announcement {
    #[doc = "`ip:port` that takes requests."]
    pub address: ::std::string::String,
    #[doc = "Whether the server refuses orders with an old fencing number."]
    pub checks_fencing: bool,
    #[doc = "Data centre of the server."]
    pub data_centre: ::std::string::String,
    #[doc = "Life of the process; a restart takes a higher one."]
    pub incarnation: u64,
    pub load: ServerLoad,
    pub offer: ServerOffer,
    #[doc = "Rises with every announcement of this incarnation."]
    pub sequence: u64,
    #[doc = "Name, unique among backend servers."]
    pub server: ::std::string::String,
    #[doc = "`leaving` asks for no new work; it is final for this incarnation."]
    pub state: AnnouncementState,
}
#[doc = "Answer to an announcement."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct AnnouncementReply {
    #[doc = "Incarnation that the entry holds."]
    pub heard_incarnation: u64,
    #[doc = "Sequence that the entry holds."]
    pub heard_sequence: u64,
    #[doc = "Announce again this often."]
    pub heartbeat_millis: u64,
    #[doc = "The server gets no new work this long after its last announcement."]
    pub lease_millis: u64,
}
#[doc = "`leaving` asks for no new work; it is final for this incarnation."]
#[derive(
    :: serde :: Deserialize,
    :: serde :: Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
)]
pub enum AnnouncementState {
    #[serde(rename = "serving")]
    Serving,
    #[serde(rename = "leaving")]
    Leaving,
}
impl ::std::fmt::Display for AnnouncementState {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Serving => f.write_str("serving"),
            Self::Leaving => f.write_str("leaving"),
        }
    }
}
impl ::std::str::FromStr for AnnouncementState {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "serving" => Ok(Self::Serving),
            "leaving" => Ok(Self::Leaving),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for AnnouncementState {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for AnnouncementState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
#[doc = "Types of pollendrift's HTTP borders."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
#[serde(transparent)]
pub struct BorderTypes(pub ::serde_json::Value);
impl ::std::ops::Deref for BorderTypes {
    type Target = ::serde_json::Value;
    fn deref(&self) -> &::serde_json::Value {
        &self.0
    }
}
impl ::std::convert::From<BorderTypes> for ::serde_json::Value {
    fn from(value: BorderTypes) -> Self {
        value.0
    }
}
impl ::std::convert::From<::serde_json::Value> for BorderTypes {
    fn from(value: ::serde_json::Value) -> Self {
        Self(value)
    }
}
#[doc = "Proof of one stage's part in a token."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct ChainLink {
    pub layers: LayerSpan,
    #[doc = "Backend server that ran the layers."]
    pub server: ::std::string::String,
    #[doc = "Version of the weights that ran."]
    pub version: ::std::string::String,
}
#[doc = "One message of a chat."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct ChatMessage {
    #[doc = "Text."]
    pub content: ::std::string::String,
    #[doc = "Author's role."]
    pub role: ::std::string::String,
}
#[doc = "Body of `POST /v1/chat/completions`."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct ChatRequest {
    #[doc = "Adapter, if any."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub adapter: ::std::option::Option<::std::string::String>,
    #[doc = "Tokens to generate at most."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub max_tokens: ::std::option::Option<u32>,
    #[doc = "Messages in order."]
    pub messages: ::std::vec::Vec<ChatMessage>,
    #[doc = "Model."]
    pub model: ::std::string::String,
    #[doc = "Whether to stream events."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub stream: ::std::option::Option<bool>,
}
#[doc = "The answer is whole."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct CompleteEvent {
    #[doc = "Attempt number."]
    pub attempt: u32,
    #[doc = "Tokens of the whole answer."]
    pub count: u32,
    #[doc = "`stop` or `length`."]
    pub finish_reason: ::std::string::String,
    #[doc = "Request id."]
    pub request: ::std::string::String,
}
#[doc = "Body of `POST /v1/completions`."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct CompletionRequest {
    #[doc = "Adapter, if any."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub adapter: ::std::option::Option<::std::string::String>,
    #[doc = "Tokens to generate at most."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub max_tokens: ::std::option::Option<u32>,
    #[doc = "Model."]
    pub model: ::std::string::String,
    #[doc = "Prompt text."]
    pub prompt: ::std::string::String,
    #[doc = "Whether to stream events."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub stream: ::std::option::Option<bool>,
}
#[doc = "What a model engine offers."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct EngineOffer {
    #[doc = "Kind of accelerator, such as `kind-a`."]
    pub accelerator_kind: ::std::string::String,
    #[doc = "Number of accelerators that the engine drives."]
    pub accelerators: u32,
    #[doc = "Bytes of activations a token between two stages."]
    pub activation_bytes: u32,
    #[doc = "Adapters that are loaded."]
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub adapters: ::std::vec::Vec<::std::string::String>,
    #[doc = "Sequences that run at once."]
    pub batch_slots: u32,
    #[doc = "Generated tokens a second through all layers that it holds, with a full batch."]
    pub decode_tokens_per_second: u64,
    #[doc = "Tokens of KV cache that fit."]
    pub kv_budget_tokens: u64,
    #[doc = "Bytes of KV cache a token over its layers."]
    pub kv_bytes_per_token: u32,
    pub layers: LayerSpan,
    #[doc = "Rate of its network link, in each direction."]
    pub link_bytes_per_second: u64,
    #[doc = "Model that is loaded."]
    pub model: ::std::string::String,
    #[doc = "Layers of the whole model."]
    pub model_layers: u32,
    #[doc = "Prompt tokens a second through all layers that it holds."]
    pub prefill_tokens_per_second: u64,
    #[doc = "Phases that the engine serves."]
    pub role: EngineOfferRole,
    #[doc = "Microseconds of one decode step with a batch of one."]
    pub step_floor_micros: u64,
    #[doc = "Version of its weights."]
    pub version: ::std::string::String,
}
#[doc = "Phases that the engine serves."]
#[derive(
    :: serde :: Deserialize,
    :: serde :: Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
)]
pub enum EngineOfferRole {
    #[serde(rename = "prefill")]
    Prefill,
    #[serde(rename = "decode")]
    Decode,
    #[serde(rename = "both")]
    Both,
}
impl ::std::fmt::Display for EngineOfferRole {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Prefill => f.write_str("prefill"),
            Self::Decode => f.write_str("decode"),
            Self::Both => f.write_str("both"),
        }
    }
}
impl ::std::str::FromStr for EngineOfferRole {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "prefill" => Ok(Self::Prefill),
            "decode" => Ok(Self::Decode),
            "both" => Ok(Self::Both),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for EngineOfferRole {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for EngineOfferRole {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
#[doc = "The sequence can't go on."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct FailedEvent {
    #[doc = "Attempt number."]
    pub attempt: u32,
    #[doc = "Why."]
    pub reason: ::std::string::String,
    #[doc = "Request id."]
    pub request: ::std::string::String,
    #[doc = "Stage that failed."]
    pub server: ::std::string::String,
    #[doc = "False only if no layer of any token ran."]
    pub started: bool,
}
#[doc = "Half-open range of model layers `first..end`."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct LayerSpan {
    #[doc = "Layer after the last one; above `first`."]
    pub end: u32,
    #[doc = "First layer of the span."]
    pub first: u32,
}
#[doc = "Answer to an order; a load is done only when it is announced."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct OrderReply {
    #[doc = "Whether the engine began the load, or had begun it."]
    pub accepted: bool,
    #[doc = "Highest fencing number that the engine has taken an order under."]
    pub highest_fencing: u64,
}
#[doc = "Orders a model engine to load layers in place of what it holds."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct OrderRequest {
    #[doc = "Number of the right under which the order is given."]
    pub fencing: u64,
    pub layers: LayerSpan,
    #[doc = "Model to load."]
    pub model: ::std::string::String,
    #[doc = "Version of its weights."]
    pub version: ::std::string::String,
}
#[doc = "Body of a refusal: problem details (RFC 9457) with the outcome."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct ProblemReport {
    #[doc = "Selectors that were considered and why each did not allow the request."]
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub considered: ::std::vec::Vec<::std::string::String>,
    #[doc = "What happened and what to do."]
    pub detail: ::std::string::String,
    #[doc = "`not-run` is said only where it is proved."]
    pub outcome: ProblemReportOutcome,
    #[doc = "Request id."]
    pub request_id: ::std::string::String,
    #[doc = "HTTP status."]
    pub status: u16,
    #[doc = "Short summary."]
    pub title: ::std::string::String,
    #[doc = "Identifier of the problem."]
    #[serde(rename = "type")]
    pub type_: ::std::string::String,
}
#[doc = "`not-run` is said only where it is proved."]
#[derive(
    :: serde :: Deserialize,
    :: serde :: Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
)]
pub enum ProblemReportOutcome {
    #[serde(rename = "not-run")]
    NotRun,
    #[serde(rename = "unknown")]
    Unknown,
}
impl ::std::fmt::Display for ProblemReportOutcome {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::NotRun => f.write_str("not-run"),
            Self::Unknown => f.write_str("unknown"),
        }
    }
}
impl ::std::str::FromStr for ProblemReportOutcome {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "not-run" => Ok(Self::NotRun),
            "unknown" => Ok(Self::Unknown),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for ProblemReportOutcome {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for ProblemReportOutcome {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
#[doc = "One stage of a pipeline."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct RouteStage {
    #[doc = "`ip:port` of that server."]
    pub address: ::std::string::String,
    pub layers: LayerSpan,
    #[doc = "Backend server of the stage."]
    pub server: ::std::string::String,
}
#[doc = "One line of the event stream of a sequence."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub enum SequenceEvent {
    #[serde(rename = "token")]
    Token(TokenEvent),
    #[serde(rename = "complete")]
    Complete(CompleteEvent),
    #[serde(rename = "failed")]
    Failed(FailedEvent),
}
impl ::std::convert::From<TokenEvent> for SequenceEvent {
    fn from(value: TokenEvent) -> Self {
        Self::Token(value)
    }
}
impl ::std::convert::From<CompleteEvent> for SequenceEvent {
    fn from(value: CompleteEvent) -> Self {
        Self::Complete(value)
    }
}
impl ::std::convert::From<FailedEvent> for SequenceEvent {
    fn from(value: FailedEvent) -> Self {
        Self::Failed(value)
    }
}
#[doc = "An entry asks the first stage to generate; the stages talk to each other along the route."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct SequenceRequest {
    #[doc = "Adapter, if any."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub adapter: ::std::option::Option<::std::string::String>,
    #[doc = "Attempt number, from 1; an engine drops work of older attempts."]
    pub attempt: u32,
    #[doc = "Tokens that the caller already holds; generation goes on after them."]
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub confirmed: ::std::vec::Vec<u64>,
    #[doc = "Tokens of the whole answer, confirmed ones included."]
    pub max_tokens: u32,
    #[doc = "Model."]
    pub model: ::std::string::String,
    #[doc = "Higher runs first."]
    pub priority: i32,
    #[doc = "Prompt text."]
    pub prompt: ::std::string::String,
    #[doc = "Request id."]
    pub request: ::std::string::String,
    #[doc = "Stages from layer 0 to the last."]
    pub route: ::std::vec::Vec<RouteStage>,
    #[doc = "Version of the weights."]
    pub version: ::std::string::String,
}
#[doc = "Load of a backend server; a lagging hint."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct ServerLoad {
    #[doc = "Tokens of KV cache in use."]
    pub kv_used_tokens: u64,
    #[doc = "Prompt tokens that wait or are being worked on."]
    pub prefill_tokens: u64,
    #[doc = "Sequences or calls waiting."]
    pub queued: u32,
    #[doc = "Sequences or calls running."]
    pub running: u32,
}
#[doc = "What a backend server offers."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub enum ServerOffer {
    #[serde(rename = "engine")]
    Engine(EngineOffer),
    #[serde(rename = "service")]
    Service(ServiceOffer),
}
impl ::std::convert::From<EngineOffer> for ServerOffer {
    fn from(value: EngineOffer) -> Self {
        Self::Engine(value)
    }
}
impl ::std::convert::From<ServiceOffer> for ServerOffer {
    fn from(value: ServiceOffer) -> Self {
        Self::Service(value)
    }
}
#[doc = "What a plain service offers."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct ServiceOffer {
    #[doc = "Service name, as in `/services/{service}/`."]
    pub service: ::std::string::String,
    #[doc = "Calls that run at once."]
    pub slots: u32,
}
#[doc = "Why a stage did not take a step."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct StepRefusal {
    #[doc = "Positions whose KV the stage holds."]
    pub have_positions: u32,
    #[doc = "Reason."]
    pub reason: StepRefusalReason,
    #[doc = "Stage that refuses or that could not be reached."]
    pub server: ::std::string::String,
}
#[doc = "Reason."]
#[derive(
    :: serde :: Deserialize,
    :: serde :: Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
)]
pub enum StepRefusalReason {
    #[serde(rename = "missing-kv")]
    MissingKv,
    #[serde(rename = "old-attempt")]
    OldAttempt,
    #[serde(rename = "wrong-version")]
    WrongVersion,
    #[serde(rename = "wrong-layers")]
    WrongLayers,
    #[serde(rename = "unreachable")]
    Unreachable,
    #[serde(rename = "overloaded")]
    Overloaded,
    #[serde(rename = "stopped")]
    Stopped,
}
impl ::std::fmt::Display for StepRefusalReason {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::MissingKv => f.write_str("missing-kv"),
            Self::OldAttempt => f.write_str("old-attempt"),
            Self::WrongVersion => f.write_str("wrong-version"),
            Self::WrongLayers => f.write_str("wrong-layers"),
            Self::Unreachable => f.write_str("unreachable"),
            Self::Overloaded => f.write_str("overloaded"),
            Self::Stopped => f.write_str("stopped"),
        }
    }
}
impl ::std::str::FromStr for StepRefusalReason {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "missing-kv" => Ok(Self::MissingKv),
            "old-attempt" => Ok(Self::OldAttempt),
            "wrong-version" => Ok(Self::WrongVersion),
            "wrong-layers" => Ok(Self::WrongLayers),
            "unreachable" => Ok(Self::Unreachable),
            "overloaded" => Ok(Self::Overloaded),
            "stopped" => Ok(Self::Stopped),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for StepRefusalReason {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for StepRefusalReason {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
#[doc = "Result of the last stage for the last position."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct StepReply {
    #[doc = "Stages from the receiving one to the last."]
    pub chain: ::std::vec::Vec<ChainLink>,
    #[doc = "Token value."]
    pub token: u64,
}
#[doc = "A stage hands activations to the next one."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct StepRequest {
    #[doc = "One activation for each position."]
    pub activations: ::std::vec::Vec<u64>,
    #[doc = "Adapter, if any."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub adapter: ::std::option::Option<::std::string::String>,
    #[doc = "Attempt number."]
    pub attempt: u32,
    #[doc = "Position of the first activation in the sequence, prompt included."]
    pub first_position: u32,
    #[doc = "Request id."]
    pub request: ::std::string::String,
    #[doc = "The receiving stage and those after it."]
    pub route: ::std::vec::Vec<RouteStage>,
    #[doc = "Version of the weights."]
    pub version: ::std::string::String,
}
#[doc = "One generated token."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct TokenEvent {
    #[doc = "Attempt number."]
    pub attempt: u32,
    #[doc = "Stages that made the token, first layer first."]
    pub chain: ::std::vec::Vec<ChainLink>,
    #[doc = "Position in the answer, from 0."]
    pub position: u32,
    #[doc = "Request id."]
    pub request: ::std::string::String,
    #[doc = "Text of the token."]
    pub text: ::std::string::String,
    #[doc = "Token value."]
    pub token: u64,
}
#[doc = " Error types."]
pub mod error {
    #[doc = r" Error from a `TryFrom` or `FromStr` implementation."]
    pub struct ConversionError(::std::borrow::Cow<'static, str>);
    impl ::std::error::Error for ConversionError {}
    impl ::std::fmt::Display for ConversionError {
        fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Display::fmt(&self.0, f)
        }
    }
    impl ::std::fmt::Debug for ConversionError {
        fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Debug::fmt(&self.0, f)
        }
    }
    impl From<&'static str> for ConversionError {
        fn from(value: &'static str) -> Self {
            Self(value.into())
        }
    }
    impl From<String> for ConversionError {
        fn from(value: String) -> Self {
            Self(value.into())
        }
    }
}
