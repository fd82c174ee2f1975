//! The configuration of operators: labels, selectors and a published source, and their changes.
//!
//! [`ParsedConfiguration::parse`] checks a complete text, [`Configuration::build`] indexes it for
//! matching, [`Configuration::select`] finds the selector of a request, and
//! [`Configuration::allows`] checks a backend server against a selector.

mod canonical;
mod change;
mod change_log;
mod checked;
mod chunk;
mod constraint;
mod delta;
mod document;
mod expression;
mod facts;
mod followed;
mod interface;
mod label;
mod label_settings;
mod lint;
mod model;
mod parse;
mod parse_expression;
mod reader;
mod recent_changes;
mod select;
mod table;
mod text_edit;

pub use canonical::write_source as source_document;
pub use canonical::{CanonicalText, ConfigurationDigest};
pub use change::{
    ChangeAnswer, ChangeConflict, ChangeRequest, ChangeSummary, EditRequest, MAX_ANSWERED_FINDINGS,
};
pub use change_log::{ChangeDecision, ChangeLog, ChangeRetention, InForceAnswer};
pub use checked::{CheckedDocument, DocumentCache, DocumentContent};
pub use delta::{ConfigurationDelta, DifferenceSummary, DocumentChange, MAX_NAMED_DOCUMENTS};
pub use document::{MAX_DEPTH, MAX_DOCUMENTS, MAX_TEXT_BYTES};
pub use expression::{LabelExpression, Mismatch, Requirement, RequirementTest};
pub use facts::{HostFacts, RequestFacts, RequestTarget, ServerFacts};
pub use followed::{ApplyError, FollowedConfiguration};
pub use interface::{
    ChangeBody, ChangeReply, ConfigurationView, DaemonRevision, ExplainBody, ExplainView,
    ExplainedSelector, ExplainedServer, HistoryView, InForceView, MAX_HISTORY_PAGE,
};
pub use label::{
    LabelKey, LabelSet, LabelSubject, LabelValue, MAX_KEY_BYTES, MAX_VALUE_BYTES, NamePattern,
};
pub use label_settings::{LabelSettings, ServiceState};
pub use model::{DEFAULT_ORDER, DocumentKey, LabelRule, PublishedSource, Selector, SelectorTarget};
pub use parse::ParsedConfiguration;
pub use select::{
    AllowMismatch, ConsideredSelector, MAX_NAMED_SELECTORS, SelectMismatch, SelectedRequest,
    SelectionRefusal, SelectionVerdict, SelectorExplanation,
};
pub use table::{Configuration, RuleKey, SelectorKey};
pub use text_edit::TextEdit;
