//! Shares of a process's memory and descriptors that clients may take.
//!
//! Clients that are not under control can keep connections and bodies for as long as the limits on each
//! of them allow. The shares bound their sums, and leave the rest to servers, peers, logs and files.

use nix::sys::resource::{Resource, getrlimit};

use crate::daemon::FaceSet;
use crate::settings::EntrySettings;

/// Reciprocal of the part of the memory for bodies of requests. A body that grows takes up to twice its
/// size for a moment.
const REQUEST_MEMORY_PART: u64 = 4;
/// Reciprocal of the part of the memory for answers.
const ANSWER_MEMORY_PART: u64 = 8;
/// Reciprocal of the part of the memory for connections of callers.
const CONNECTION_MEMORY_PART: u64 = 4;
/// Memory of a connection whose head is as large as allowed, in addition to the head, in bytes.
const CONNECTION_BYTES: u64 = 16 << 10;
/// Sixteenths of the descriptors for connections to the faces of callers. Requests in progress take as many
/// again for connections to servers.
const CALLER_DESCRIPTORS: u64 = 5;
/// The same for operators and backend servers.
const CONTROL_DESCRIPTORS: u64 = 2;
/// The same for the platform, and for metrics.
const PLATFORM_DESCRIPTORS: u64 = 1;
/// The same for peers.
const PEER_DESCRIPTORS: u64 = 2;
/// Least number of connections to a face.
const MIN_CONNECTIONS: u64 = 16;

/// Resources that clients may take of this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResourceShares {
    /// Memory of bodies of requests, in bytes.
    pub request_bytes: u64,
    /// Memory of answers that are kept in whole, in bytes.
    pub answer_bytes: u64,
    /// Most connections to a face of callers.
    pub caller_connections: u64,
    /// Most connections to a face of operators or backend servers without callers.
    pub control_connections: u64,
    /// Most connections to the face of the platform, and to that of metrics.
    pub platform_connections: u64,
    /// Most links from peers, channels for forwarded requests included.
    pub peer_links: u64,
}

impl ResourceShares {
    /// Shares of a process that the system lets open `system_limit` descriptors; `None` if that is not
    /// known.
    pub fn new(settings: &EntrySettings, system_limit: Option<u64>) -> Self {
        let descriptors = match settings.max_descriptors {
            0 => system_limit.unwrap_or(u64::MAX),
            descriptors => descriptors,
        };
        let share = |sixteenths: u64| {
            let connections = descriptors / 16 * sixteenths;
            connections
                .min(settings.max_connections)
                .max(MIN_CONNECTIONS)
        };
        let bytes = CONNECTION_BYTES + settings.max_header_bytes;
        let in_memory = settings.memory / CONNECTION_MEMORY_PART / bytes;
        Self {
            request_bytes: settings.memory / REQUEST_MEMORY_PART,
            answer_bytes: settings.memory / ANSWER_MEMORY_PART,
            caller_connections: share(CALLER_DESCRIPTORS).min(in_memory.max(MIN_CONNECTIONS)),
            control_connections: share(CONTROL_DESCRIPTORS),
            platform_connections: share(PLATFORM_DESCRIPTORS),
            peer_links: share(PEER_DESCRIPTORS),
        }
    }

    /// Most connections to an address with `faces`.
    pub fn connections(&self, faces: FaceSet) -> u64 {
        if faces.callers {
            self.caller_connections
        } else if faces.operators || faces.backend_servers {
            self.control_connections
        } else {
            self.platform_connections
        }
    }
}

/// Number of descriptors that the system lets this process open.
pub(crate) fn descriptor_limit() -> Option<u64> {
    let (limit, _) = getrlimit(Resource::RLIMIT_NOFILE).ok()?;
    Some(limit)
}

#[cfg(test)]
mod tests;
