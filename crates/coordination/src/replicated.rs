//! The state that keepers replicate: configuration changes, claims, evidence and order rights.

mod clock;

pub use clock::{CommandStamp, MAX_FOLLOWED_PROPOSERS, ReplicatedClock, ReplicatedTime};
