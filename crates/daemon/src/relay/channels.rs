//! Channels to hosts that requests are forwarded to, kept open between requests.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use pollendrift_coordination::base::{HostName, MonotonicTime};
use pollendrift_coordination::forwarding::ForwardHost;

use crate::peers::{ForwardChannel, LinkError, PeerHub};

/// Time for which an idle channel is kept; shorter than the other host keeps it.
const MAX_IDLE: Duration = Duration::from_secs(4);
/// Maximum number of idle channels to one host.
const MAX_IDLE_PER_HOST: usize = 32;

/// Idle channels by host.
pub(super) struct ChannelPool {
    hub: PeerHub,
    idle: Mutex<BTreeMap<HostName, Vec<ForwardChannel>>>,
}

impl ChannelPool {
    /// Creates a pool without channels.
    pub(super) fn new(hub: PeerHub) -> Self {
        Self {
            hub,
            idle: Mutex::default(),
        }
    }

    /// Takes an idle channel to a host, or opens one.
    pub(super) async fn acquire(
        &self,
        now: MonotonicTime,
        target: &ForwardHost,
    ) -> Result<ForwardChannel, LinkError> {
        match self.take_idle(now, &target.host) {
            Some(channel) => Ok(channel),
            None => self.hub.open_forwarding(target).await,
        }
    }

    /// Keeps a channel whose request has ended.
    pub(super) fn release(&self, now: MonotonicTime, mut channel: ForwardChannel) {
        channel.mark_idle(now);
        let mut idle = self.lock();
        let channels = idle.entry(channel.host().clone()).or_default();
        if channels.len() < MAX_IDLE_PER_HOST {
            channels.push(channel);
        }
    }

    /// Closes the channels that have been idle for too long.
    pub(super) fn tick(&self, now: MonotonicTime) {
        let mut idle = self.lock();
        idle.retain(|_, channels| {
            channels.retain_mut(|channel| channel.is_reusable(now, MAX_IDLE));
            !channels.is_empty()
        });
    }

    fn take_idle(&self, now: MonotonicTime, host: &HostName) -> Option<ForwardChannel> {
        let mut idle = self.lock();
        let channels = idle.get_mut(host)?;
        while let Some(mut channel) = channels.pop() {
            if channel.is_reusable(now, MAX_IDLE) {
                return Some(channel);
            }
        }
        None
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<HostName, Vec<ForwardChannel>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
