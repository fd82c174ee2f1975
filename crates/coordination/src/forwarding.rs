//! Chooses the host over which another host forwards requests that it can't send itself.
//!
//! A host that reaches no server of a service forwards the requests of its callers to a host that
//! does. It tells the keepers which services it does not reach, and gets a list of other hosts from
//! them; a [`PartitionTable`] on each keeper keeps hosts that are cut off themselves out of the list.
//! The [`ForwardTable`] of the host spreads its requests over the listed hosts.

mod partitions;
mod table;

pub use partitions::{PartitionSettings, PartitionTable};
pub use table::{ForwardHost, ForwardHostDump, ForwardSettings, ForwardTable};
