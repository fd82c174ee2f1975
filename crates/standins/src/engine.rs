//! A model engine that holds a range of layers and runs it as one stage of a pipeline.

mod cache;
mod fault;
mod handler;
mod order;
mod pace;
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
use order::OrderState;
use pace::EnginePace;

const MAX_BODY_BYTES: usize = 64 << 20;

/// What a stand-in engine is.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Name of the backend server.
    pub server: String,
    /// What it announces and how fast it runs.
    pub offer: EngineOffer,
}

/// State that all handlers of one engine share.
#[derive(Debug)]
pub(crate) struct EngineContext {
    pub(crate) server: String,
    /// What is served and announced now; a load replaces it.
    offer: Mutex<Arc<EngineOffer>>,
    pub(crate) orders: Mutex<OrderState>,
    pub(crate) sequences: SequenceTable,
    pub(crate) pace: EnginePace,
    pub(crate) faults: FaultPlan,
    pub(crate) client: HttpClient,
}

impl EngineContext {
    /// What is served now.
    pub(crate) fn served(&self) -> Arc<EngineOffer> {
        Arc::clone(&lock(&self.offer))
    }

    /// Serves `offer` from now on.
    pub(crate) fn serve(&self, offer: EngineOffer) {
        *lock(&self.offer) = Arc::new(offer);
    }
}

/// Locks what no panic can leave half changed.
pub(crate) fn lock<T>(held: &Mutex<T>) -> MutexGuard<'_, T> {
    held.lock().unwrap_or_else(PoisonError::into_inner)
}

impl OfferSource for EngineContext {
    fn offer(&self) -> ServerOffer {
        ServerOffer::Engine(self.served().as_ref().clone())
    }

    fn load(&self) -> ServerLoad {
        ServerLoad {
            running: self.pace.running(),
            queued: self.pace.queued(),
            prefill_tokens: self.pace.prefill_tokens(),
            kv_used_tokens: self.sequences.used_tokens(),
        }
    }
}

/// A running engine; dropping it cuts every connection, as a crash does.
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
        let pace = EnginePace::new(&settings.offer);
        let context = Arc::new(EngineContext {
            server: settings.server,
            offer: Mutex::new(Arc::new(settings.offer)),
            orders: Mutex::default(),
            sequences: SequenceTable::default(),
            pace,
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

    /// Starts to announce this engine to `entries`.
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

    /// Announces from now on that the engine is leaving.
    pub fn leave(&self) {
        if let Some(announcer) = &self.announcer {
            announcer.leave();
        }
    }

    /// Address that the engine listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Faults to bring about, changeable while the engine runs.
    pub fn faults(&self) -> &FaultPlan {
        &self.context.faults
    }

    /// What the engine serves now.
    pub fn served(&self) -> Arc<EngineOffer> {
        self.context.served()
    }

    /// Sequences whose KV the engine holds.
    pub fn open_sequences(&self) -> usize {
        self.context.sequences.len()
    }
}
