//! Requests under which one server after the other ends.
//!
//! Some request may crash or silence each server that runs it. Its caller sends it again under another
//! attempt id, at any host, and hosts send it again themselves after each failure, so that limits on one
//! attempt do not bound the number of servers that it takes along.
//!
//! Hosts recognise a request by its content and tell each other which servers ended while they had it.
//! Each asks before every send. A request under which three servers have ended is not sent any more,
//! unless a whole answer to it comes, or most servers that ended at the same time did not have it. A
//! request under which a server has ended is sent by as many hosts at once as servers may still end.

mod answers;
mod chance;
mod digest;
mod dump;
mod evidence;
mod exchange;
mod interface;
mod losses;
mod notice;
mod sends;
mod settings;
mod table;

pub use digest::{ContentDigest, RequestContent};
pub use dump::{PoisonDump, StoppedDump};
pub use interface::{
    LossKind, PoisonEvent, PoisonVerdict, RunNumber, SendEnd, SendNumber, StoppedRequest,
};
pub use notice::{DigestNote, LossNote, LostRequest, PoisonNotice, TrialNote, WithdrawnNote};
pub use sends::TrackedKey;
pub use settings::PoisonSettings;
pub use table::PoisonTable;
