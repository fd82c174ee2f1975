//! A stand-in plain service that counts its calls by key.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use pollendrift_border::{ServerLoad, ServerOffer, ServiceOffer};
use pollendrift_http::{
    HandlerFuture, HttpHandler, HttpServer, ResponseBody, ServerLimits, read_bounded, text_response,
};

use tokio::sync::watch;

use crate::announcer::{AnnouncerSettings, OfferSource, ServerAnnouncer};

/// Header with the idempotency key of a call.
pub const KEY_HEADER: &str = "idempotency-key";
const MAX_BODY_BYTES: usize = 16 << 20;
const OFFERED_SLOTS: u32 = 64;

/// Shared state of one service instance.
#[derive(Debug)]
struct ServiceContext {
    server: String,
    service: String,
    runs: Mutex<BTreeMap<String, u64>>,
    delay_micros: AtomicU64,
    disconnect_before_answer: AtomicBool,
    answers_held: watch::Sender<bool>,
    running: AtomicU64,
}

impl OfferSource for ServiceContext {
    fn offer(&self) -> ServerOffer {
        ServerOffer::Service(ServiceOffer {
            service: self.service.clone(),
            slots: OFFERED_SLOTS,
        })
    }

    fn load(&self) -> ServerLoad {
        let running = u32::try_from(self.running.load(Ordering::Relaxed)).unwrap_or(u32::MAX);
        ServerLoad {
            running,
            queued: 0,
            prefill_tokens: 0,
            kv_used_tokens: 0,
        }
    }
}

/// A running plain service; dropping it closes every connection, as a crash does.
#[derive(Debug)]
pub struct PlainService {
    server: HttpServer,
    context: Arc<ServiceContext>,
    announcer: Option<ServerAnnouncer>,
}

impl PlainService {
    /// Starts an instance of `service` on `address`.
    ///
    /// # Errors
    /// The address can't be bound.
    pub async fn start(server: &str, service: &str, address: SocketAddr) -> io::Result<Self> {
        let context = Arc::new(ServiceContext {
            server: server.to_owned(),
            service: service.to_owned(),
            runs: Mutex::new(BTreeMap::new()),
            delay_micros: AtomicU64::new(0),
            disconnect_before_answer: AtomicBool::new(false),
            answers_held: watch::Sender::new(false),
            running: AtomicU64::new(0),
        });
        let handler = Arc::new(ServiceHandler {
            context: Arc::clone(&context),
        });
        let server = HttpServer::start(address, ServerLimits::default(), None, handler).await?;
        Ok(Self {
            server,
            context,
            announcer: None,
        })
    }

    /// Starts announcing this instance to `entries` (`ip:port`).
    pub fn announce(&mut self, entries: Vec<String>, incarnation: u64, data_centre: &str) {
        let settings = AnnouncerSettings {
            entries,
            server: self.context.server.clone(),
            incarnation,
            data_centre: data_centre.to_owned(),
            checks_fencing: false,
        };
        let source: Arc<dyn OfferSource> = Arc::clone(&self.context) as Arc<dyn OfferSource>;
        self.announcer = Some(ServerAnnouncer::start(
            settings,
            self.address().to_string(),
            source,
        ));
    }

    /// Address that the instance listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Number of runs per key; calls without a key count under the empty key.
    pub fn runs(&self) -> BTreeMap<String, u64> {
        self.context
            .runs
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Sets the duration of every call.
    pub fn set_delay(&self, delay: Duration) {
        let micros = u64::try_from(delay.as_micros()).unwrap_or(u64::MAX);
        self.context.delay_micros.store(micros, Ordering::Relaxed);
    }

    /// Delays the answer of every call that ran until `on` is false again.
    pub fn hold_answers(&self, on: bool) {
        self.context.answers_held.send_replace(on);
    }

    /// Runs calls but closes the connection before the answer.
    pub fn disconnect_before_answer(&self, on: bool) {
        self.context
            .disconnect_before_answer
            .store(on, Ordering::Relaxed);
    }
}

struct ServiceHandler {
    context: Arc<ServiceContext>,
}

impl ServiceHandler {
    async fn answer(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let key = request
            .headers()
            .get(KEY_HEADER)
            .and_then(|value| value.to_str().ok());
        let key = key.unwrap_or("").to_owned();
        let path = request.uri().path().to_owned();
        let Ok(body) = read_bounded(request.into_body(), MAX_BODY_BYTES).await else {
            return text_response(StatusCode::BAD_REQUEST, "body not whole\n");
        };
        self.context.running.fetch_add(1, Ordering::Relaxed);
        let run = self.count(&key);
        tokio::time::sleep(Duration::from_micros(
            self.context.delay_micros.load(Ordering::Relaxed),
        ))
        .await;
        // Fails only if the service is dropped, which also ends this call.
        let _ = self
            .context
            .answers_held
            .subscribe()
            .wait_for(|is_held| !is_held)
            .await;
        self.context.running.fetch_sub(1, Ordering::Relaxed);
        if self
            .context
            .disconnect_before_answer
            .load(Ordering::Relaxed)
        {
            let (sender, truncated) = pollendrift_http::channel_body(1);
            drop(sender);
            return Response::new(truncated);
        }
        text_response(
            StatusCode::OK,
            format!(
                "{} ran {path} key={key} run={run} bytes={}\n",
                self.context.server,
                body.len()
            ),
        )
    }

    fn count(&self, key: &str) -> u64 {
        let mut runs = self
            .context
            .runs
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let count = runs.entry(key.to_owned()).or_insert(0);
        *count += 1;
        *count
    }
}

impl HttpHandler for ServiceHandler {
    fn handle(self: Arc<Self>, request: Request<Incoming>, _peer: SocketAddr) -> HandlerFuture {
        Box::pin(async move { self.answer(request).await })
    }
}
