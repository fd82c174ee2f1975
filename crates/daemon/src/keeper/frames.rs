//! Routes frames of peers to the keeper of this host.

use std::sync::Arc;

use pollendrift_coordination::base::HostName;

use super::calls::serve_call;
use super::port::KeeperPort;
use crate::peers::{PeerFrame, PeerHandler, PeerHub};

/// Handles agreement messages and calls to keepers; passes all other frames to `next`.
pub struct KeeperFrameHandler {
    port: KeeperPort,
    next: Arc<dyn PeerHandler>,
}

impl KeeperFrameHandler {
    /// Creates a handler that sends frames for the keeper to `port` and others to `next`.
    #[must_use]
    pub fn new(port: KeeperPort, next: Arc<dyn PeerHandler>) -> Self {
        Self { port, next }
    }
}

impl PeerHandler for KeeperFrameHandler {
    fn handle(&self, hub: &PeerHub, from: &HostName, frame: PeerFrame) {
        match frame {
            PeerFrame::Agreement(bytes) => self.port.receive_message(from, &bytes.0),
            PeerFrame::Call(call) => {
                if let Some(call) = serve_call(&self.port, hub, from, call) {
                    self.next.handle(hub, from, PeerFrame::Call(call));
                }
            }
            frame => self.next.handle(hub, from, frame),
        }
    }

    fn link_changed(&self, hub: &PeerHub, host: &HostName, up: bool) {
        self.next.link_changed(hub, host, up);
    }
}
