//! Announces a backend server to the entries in turn, as through a load balancer.

use std::sync::Arc;
use std::time::Duration;

use pollendrift_border::{
    Announcement, AnnouncementReply, AnnouncementState, ServerLoad, ServerOffer,
};
use pollendrift_http::HttpClient;
use tokio::sync::watch;

/// Path of announcements at an entry.
pub const ANNOUNCEMENT_PATH: &str = "/backend/v1/announcements";
const RETRY_PAUSE: Duration = Duration::from_millis(200);
const MAX_REPLY_BYTES: usize = 64 * 1024;

/// Identity of the announcing server, and the entries to announce it to.
#[derive(Clone, Debug)]
pub struct AnnouncerSettings {
    /// `ip:port` of every entry.
    pub entries: Vec<String>,
    /// Name of the server.
    pub server: String,
    /// Incarnation of the server's process.
    pub incarnation: u64,
    /// Data centre of the server.
    pub data_centre: String,
    /// Whether the server refuses orders with an old fencing number.
    pub checks_fencing: bool,
}

/// Source of the server's current offer and load.
pub trait OfferSource: Send + Sync + 'static {
    /// Current offer.
    fn offer(&self) -> ServerOffer;
    /// Current load.
    fn load(&self) -> ServerLoad;
}

/// A running announcer; dropping it stops the announcements without a `Leaving` state.
#[derive(Debug)]
pub struct ServerAnnouncer {
    leaving: watch::Sender<bool>,
    task: tokio::task::JoinHandle<()>,
}

impl ServerAnnouncer {
    /// Starts to announce `address` as the address of the server.
    pub fn start(
        settings: AnnouncerSettings,
        address: String,
        source: Arc<dyn OfferSource>,
    ) -> Self {
        let (leaving, leaving_receiver) = watch::channel(false);
        let task = tokio::spawn(announce_loop(settings, address, source, leaving_receiver));
        Self { leaving, task }
    }

    /// Sets the announced state to `Leaving` and announces it at once.
    pub fn leave(&self) {
        let _ = self.leaving.send(true);
    }
}

impl Drop for ServerAnnouncer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn announce_loop(
    settings: AnnouncerSettings,
    address: String,
    source: Arc<dyn OfferSource>,
    mut leaving: watch::Receiver<bool>,
) {
    let client = HttpClient::new(MAX_REPLY_BYTES);
    let mut sequence = 0_u64;
    loop {
        sequence += 1;
        let state = if *leaving.borrow() {
            AnnouncementState::Leaving
        } else {
            AnnouncementState::Serving
        };
        let announcement = Announcement {
            server: settings.server.clone(),
            incarnation: settings.incarnation,
            sequence,
            address: address.clone(),
            data_centre: settings.data_centre.clone(),
            state,
            checks_fencing: settings.checks_fencing,
            offer: source.offer(),
            load: source.load(),
        };
        let pause = announce_once(&client, &settings.entries, sequence, &announcement).await;
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            changed = leaving.changed() => if changed.is_err() { return },
        }
    }
}

async fn announce_once(
    client: &HttpClient,
    entries: &[String],
    sequence: u64,
    announcement: &Announcement,
) -> Duration {
    let count = entries.len().max(1);
    let index = usize::try_from(sequence).unwrap_or(0) % count;
    let Some(entry) = entries.get(index) else {
        return RETRY_PAUSE;
    };
    let reply = client
        .call::<_, AnnouncementReply>(entry, ANNOUNCEMENT_PATH, announcement)
        .await;
    match reply {
        Ok((_, Ok(reply))) => Duration::from_millis(reply.heartbeat_millis),
        _ => RETRY_PAUSE,
    }
}
