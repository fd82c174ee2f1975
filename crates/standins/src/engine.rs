//! A stand-in model engine that serves a range of layers as one stage of a pipeline.

mod cache;
mod capacity;
mod fault;
mod handler;
mod order;
mod sequence;
mod step;

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use pollendrift_border::{EngineOffer, ServerLoad, ServerOffer};
use pollendrift_http::{HttpClient, HttpServer, ServerLimits};

pub use fault::FaultPlan;

use crate::announcer::{AnnouncerSettings, OfferSource, ServerAnnouncer};
use cache::SequenceTable;
use capacity::ComputeCapacity;
use order::OrderState;

const MAX_BODY_BYTES: usize = 64 << 20;

/// Settings of a stand-in engine.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Name of the backend server.
    pub server: String,
    /// Announced offer; its rates also set the speed of the engine.
    pub offer: EngineOffer,
}

/// State shared by all handlers of one engine.
#[derive(Debug)]
pub(crate) struct EngineContext {
    pub(crate) server: String,
    /// Offer that is served and announced; an executed order replaces it.
    offer: Mutex<Arc<EngineOffer>>,
    pub(crate) orders: Mutex<OrderState>,
    pub(crate) sequences: SequenceTable,
    pub(crate) capacity: ComputeCapacity,
    pub(crate) faults: FaultPlan,
    pub(crate) client: HttpClient,
}

impl EngineContext {
    /// Offer that is currently served.
    pub(crate) fn current_offer(&self) -> Arc<EngineOffer> {
        Arc::clone(&lock(&self.offer))
    }

    /// Replaces the served offer.
    pub(crate) fn set_offer(&self, offer: EngineOffer) {
        *lock(&self.offer) = Arc::new(offer);
    }
}

/// Locks a mutex and ignores poisoning: no panic can leave its data inconsistent.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl OfferSource for EngineContext {
    fn offer(&self) -> ServerOffer {
        ServerOffer::Engine(self.current_offer().as_ref().clone())
    }

    fn load(&self) -> ServerLoad {
        ServerLoad {
            running: self.capacity.running(),
            queued: self.capacity.queued(),
            prefill_tokens: self.capacity.prefill_tokens(),
            kv_used_tokens: self.sequences.used_tokens(),
        }
    }
}

/// A running engine; dropping it closes every connection, as a crash does.
#[derive(Debug)]
pub struct EngineServer {
    server: HttpServer,
    context: Arc<EngineContext>,
    announcer: Option<ServerAnnouncer>,
}

impl EngineServer {
    /// Starts an engine on `address`.
    ///
    /// # Errors
    /// The address can't be bound.
    pub async fn start(settings: EngineSettings, address: SocketAddr) -> io::Result<Self> {
        let capacity = ComputeCapacity::new(&settings.offer);
        let context = Arc::new(EngineContext {
            server: settings.server,
            offer: Mutex::new(Arc::new(settings.offer)),
            orders: Mutex::default(),
            sequences: SequenceTable::default(),
            capacity,
            faults: FaultPlan::default(),
            client: HttpClient::new(MAX_BODY_BYTES),
        });
        let handler = Arc::new(handler::EngineHandler::new(Arc::clone(&context)));
        let server = HttpServer::start(address, ServerLimits::default(), None, handler).await?;
        Ok(Self {
            server,
            context,
            announcer: None,
        })
    }

    /// Starts announcing this engine to `entries` (`ip:port`).
    pub fn announce(&mut self, entries: Vec<String>, incarnation: u64, data_centre: &str) {
        let settings = AnnouncerSettings {
            entries,
            server: self.context.server.clone(),
            incarnation,
            data_centre: data_centre.to_owned(),
            checks_fencing: !self.context.faults.ignores_fencing(),
        };
        let source: Arc<dyn OfferSource> = Arc::clone(&self.context) as Arc<dyn OfferSource>;
        self.announcer = Some(ServerAnnouncer::start(
            settings,
            self.address().to_string(),
            source,
        ));
    }

    /// Sets the announced state to `Leaving` and announces it at once.
    pub fn leave(&self) {
        if let Some(announcer) = &self.announcer {
            announcer.leave();
        }
    }

    /// Address that the engine listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Injected faults, which can change while the engine runs.
    pub fn faults(&self) -> &FaultPlan {
        &self.context.faults
    }

    /// Offer that the engine currently serves.
    pub fn current_offer(&self) -> Arc<EngineOffer> {
        self.context.current_offer()
    }

    /// Number of sequences whose KV state the engine holds.
    pub fn open_sequences(&self) -> usize {
        self.context.sequences.len()
    }
}
