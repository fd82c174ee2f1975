//! Quarantine of prompt parts that crash engines.
//!
//! Some part of a prompt may crash each engine that begins to answer it. Its request would crash one
//! engine after the other by retries, by resumption, and by its caller at other hosts, and with each
//! engine all other requests on it are lost.
//!
//! After a crash, the parts of all requests that were on the engine and had no answer yet are
//! suspects, unless requests with the same part are answered. Requests with a suspected part are held
//! back: refused at once, as not run. After a while one of them is sent as a test, over all hosts one
//! at a time. An answer ends the suspicion, another crash holds the part back for longer. Hosts share
//! crashes, answers and tests, so that each decides by what all of them have seen.
//!
//! A crash late in an answer is no evidence by itself, as few parts have a whole answer at any time. Parts
//! are suspected of such crashes if answers that were sent after the first one crash engines again and
//! none came whole in between.
//!
//! An engine that crashes for another reason makes parts suspects that only its requests have had.
//! The next answer to one of them clears it, at the latest that of its test.

mod crashes;
mod interface;
mod late;
mod notice;
mod proofs;
mod sends;
mod settings;
mod table;

pub use interface::{Admission, CrashId, HeldRequest, PartKey, PartVerdict, QuarantineEvent};
pub(crate) use notice::NoticeSource;
pub use notice::{BrokenNote, CrashNote, NoticeAudience, PartNote, QuarantineNotice};
pub use proofs::PartDigest;
pub use sends::SendKey;
pub use settings::QuarantineSettings;
pub use table::{QuarantineDump, QuarantineTable, SuspectDump};
