//! Lets streams resume at another entry: copies each token to one peer before its caller gets it,
//! and looks up streams of other entries.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use pollendrift_coordination::base::{HostName, ReceiptNumber, RequestId};
use pollendrift_coordination::streams::{
    HolderTable, LookUpAnswer, ResumeQuery, ResumeVerdict, StreamSearch, StreamSettings,
    StreamTable, StreamUpdate, rank_hosts,
};
use tokio::sync::watch;
use tokio::time::{Instant, timeout_at};

use crate::clock::TimeSource;
use crate::peers::{
    CallError, CallNumber, PeerAnswer, PeerFrame, PeerHub, PeerQuestion, PendingCall,
};

/// Time limit for a peer's answer to a look-up of a stream.
const LOOK_UP_TIMEOUT: Duration = Duration::from_millis(800);
/// Time for which a look-up waits for later copies after it has found one that suffices.
const LATER_COPY_WAIT: Duration = Duration::from_millis(50);
/// Time limit for the confirmation of a copy. A host that stores streams confirms within a round
/// trip; a frozen one must not hold back the stream for longer than callers wait between tokens.
const RECEIPT_TIMEOUT: Duration = Duration::from_secs(1);
/// Number of hosts that a look-up asks first, in rank order. The copy is further down only if most
/// of them failed while the stream ran.
const LIKELY_HOSTS: usize = 8;

/// Replicates the streams of this entry, and stores the streams that other entries replicate here.
pub struct StreamStore {
    table: Mutex<StreamTable>,
    holders: Mutex<HolderTable>,
    /// Time for which hosts keep a copy after its last update.
    retention: Duration,
    hub: PeerHub,
    clock: Arc<dyn TimeSource>,
}

/// A copy of released tokens that another host has not confirmed yet.
pub struct CopyReceipt {
    holder: HostName,
    pending: PendingCall,
    deadline: Instant,
}

impl CopyReceipt {
    /// Host that is to confirm the copy.
    pub fn holder(&self) -> &HostName {
        &self.holder
    }

    /// Waits until the host has confirmed the copy. A cancelled wait loses nothing.
    ///
    /// # Errors
    /// The link broke, the host lacks earlier tokens, or it did not confirm in time.
    pub async fn confirmed(&mut self) -> Result<(), CopyLoss> {
        let loss = |is_silent, reason: String| CopyLoss {
            holder: self.holder.clone(),
            is_silent,
            reason,
        };
        match timeout_at(self.deadline, self.pending.wait()).await {
            Ok(Ok(PeerAnswer::Stored)) => Ok(()),
            Ok(Ok(PeerAnswer::NotRun { reason })) => Err(loss(false, reason)),
            Ok(Ok(_)) => Err(loss(false, "unexpected answer".to_owned())),
            Ok(Err(error)) => Err(loss(false, error.to_string())),
            Err(_) => Err(loss(true, "no confirmation in time".to_owned())),
        }
    }
}

/// Host that is to store a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HolderChoice {
    /// The host.
    pub host: HostName,
    /// Whether it is expected to confirm in time; false for a host that recently did not.
    pub is_trusted: bool,
}

/// Watches the link to a host since the time at which the watch was created.
pub struct LinkWatch(watch::Receiver<bool>);

impl LinkWatch {
    /// Waits until the link has broken, even if it is up again by now. A cancelled wait loses
    /// nothing.
    pub async fn broken(&mut self) {
        // The sender is dropped with the peer, which ends the link as well.
        let _ = self.0.changed().await;
    }
}

/// A copy that its host did not confirm.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CopyLoss {
    /// Host that should have stored the copy.
    pub holder: HostName,
    /// Whether the host did not answer at all.
    pub is_silent: bool,
    /// Reason for the log.
    pub reason: String,
}

impl StreamStore {
    /// Creates a store without streams.
    pub fn new(hub: PeerHub, clock: Arc<dyn TimeSource>) -> Self {
        let settings = StreamSettings::default();
        Self {
            table: Mutex::new(StreamTable::new(settings)),
            holders: Mutex::default(),
            retention: settings.retention,
            hub,
            clock,
        }
    }

    /// Sends released tokens to `holder` and returns the receipt to wait for before the caller gets
    /// them.
    ///
    /// # Errors
    /// The update was not sent.
    pub fn replicate(
        &self,
        holder: &HostName,
        mut update: StreamUpdate,
    ) -> Result<CopyReceipt, CopyLoss> {
        let numbered = |number: CallNumber| {
            update.receipt = Some(ReceiptNumber(number.0));
            PeerFrame::Stream(update)
        };
        let pending = self.hub.send_numbered(holder, numbered);
        let pending = pending.map_err(|error: CallError| CopyLoss {
            holder: holder.clone(),
            is_silent: false,
            reason: error.to_string(),
        })?;
        Ok(CopyReceipt {
            holder: holder.clone(),
            pending,
            deadline: Instant::now() + RECEIPT_TIMEOUT,
        })
    }

    /// Chooses the host that stores the stream of `request`, other than `failed`. A host that recently
    /// did not confirm a copy is chosen if there is no other. `None` if no host is reachable.
    pub fn choose_holder(&self, request: &RequestId, failed: &[HostName]) -> Option<HolderChoice> {
        let mut reachable = self.hub.up_hosts();
        reachable.retain(|host| !failed.contains(host));
        let mut holders = self.holders.lock().unwrap_or_else(PoisonError::into_inner);
        let trusted = holders.choose(self.clock.now(), request, &reachable);
        let is_trusted = trusted.is_some();
        let host = trusted.or_else(|| rank_hosts(request, &reachable).into_iter().next())?;
        Some(HolderChoice {
            host: host.clone(),
            is_trusted,
        })
    }

    /// Watches the link to `host`; `None` if it is down.
    pub fn watch_link(&self, host: &HostName) -> Option<LinkWatch> {
        let mut link = self.hub.watch_link(host)?;
        let is_up = *link.borrow_and_update();
        is_up.then_some(LinkWatch(link))
    }

    /// Records a lost copy; a host that did not answer at all stores no new streams for a while.
    pub fn record_loss(&self, loss: &CopyLoss) {
        if loss.is_silent {
            let mut holders = self.holders.lock().unwrap_or_else(PoisonError::into_inner);
            holders.record_unconfirmed(self.clock.now(), &loss.holder);
        }
    }

    /// Records that a host confirms copies again.
    pub fn record_confirmation(&self, host: &HostName) {
        let mut holders = self.holders.lock().unwrap_or_else(PoisonError::into_inner);
        holders.record_confirmed(host);
    }

    /// Records an update of the stream of `from`, and confirms it if that host waits for it.
    pub fn receive_update(&self, from: &HostName, update: StreamUpdate) {
        let receipt = update.receipt;
        let now = self.clock.now();
        let request = update.request.clone();
        let first = update.first;
        let is_stored = {
            let mut table = self.lock();
            let is_stored = table.record(now, from, update);
            table.tick(now);
            is_stored
        };
        if !is_stored {
            log::warn!(request:% = request, host:% = from, first:% = first; "update of a stream not stored");
        }
        let Some(receipt) = receipt else {
            return;
        };
        let answer = if is_stored {
            PeerAnswer::Stored
        } else {
            PeerAnswer::NotRun {
                reason: "earlier tokens are missing, or the stream was resumed elsewhere"
                    .to_owned(),
            }
        };
        // The sender of an update without an answer copies the stream to another host.
        let _ = self.hub.answer(from, CallNumber(receipt.0), answer);
    }

    /// Answers a peer's look-up with this host's encoded record of a stream, if it has one.
    pub fn answer_look_up(&self, request: &RequestId) -> PeerAnswer {
        let record = self.lock().look_up(request).cloned();
        let encoded = record.and_then(|record| {
            let mut bytes = Vec::new();
            ciborium::into_writer(&record, &mut bytes).ok()?;
            Some(bytes.into())
        });
        PeerAnswer::Request(encoded)
    }

    /// Looks up the stream of `request` at all hosts, the most likely ones first.
    pub async fn find(&self, request: &RequestId, query: ResumeQuery) -> ResumeVerdict {
        let mut search = StreamSearch::new(query);
        let ranked = self.ranked(request);
        let (likely, others) = ranked.split_at(ranked.len().min(LIKELY_HOSTS));
        self.ask(likely, request, &mut search).await;
        if !search.is_resumable() {
            self.ask(others, request, &mut search).await;
        }
        let verdict = search.verdict();
        log::info!(request:% = request, verdict = verdict.name(), answers:% = search; "stream looked up");
        verdict
    }

    /// Asks `hosts` at the same time. Once a copy suffices, the others have [`LATER_COPY_WAIT`] to
    /// name a later one.
    async fn ask(&self, hosts: &[HostName], request: &RequestId, search: &mut StreamSearch) {
        let questions = hosts.iter().map(|host| async move {
            let answer = self.look_up_at(host, request).await;
            (host, answer)
        });
        let mut questions: FuturesUnordered<_> = questions.collect();
        while !search.is_resumable() {
            let Some((host, answer)) = questions.next().await else {
                return;
            };
            search.record(host.clone(), answer);
        }
        let end = Instant::now() + LATER_COPY_WAIT;
        while let Ok(Some((host, answer))) = timeout_at(end, questions.next()).await {
            search.record(host.clone(), answer);
        }
    }

    async fn look_up_at(&self, host: &HostName, request: &RequestId) -> LookUpAnswer {
        if host == self.hub.host() {
            let record = self.lock().look_up(request).cloned();
            return record.map_or(LookUpAnswer::NoCopy, LookUpAnswer::Copy);
        }
        let question = PeerQuestion::RequestLookUp(request.clone());
        match self.hub.call(host, question, 0, LOOK_UP_TIMEOUT).await {
            Ok(PeerAnswer::Request(Some(bytes))) => match ciborium::from_reader(bytes.0.as_ref()) {
                Ok(record) => LookUpAnswer::Copy(record),
                Err(error) => {
                    log::warn!(request:% = request, host:% = host, error:% = error; "copy of a stream can't be decoded");
                    LookUpAnswer::NoCopy
                }
            },
            Ok(_) => LookUpAnswer::NoCopy,
            Err(error) => {
                let reason = error.to_string();
                if self.hub.may_remember(host, self.retention) {
                    LookUpAnswer::Unreachable { reason }
                } else {
                    LookUpAnswer::Gone { reason }
                }
            }
        }
    }

    fn ranked(&self, request: &RequestId) -> Vec<HostName> {
        let mut hosts = self.hub.hosts();
        hosts.push(self.hub.host().clone());
        rank_hosts(request, hosts.iter())
            .into_iter()
            .cloned()
            .collect()
    }

    fn lock(&self) -> MutexGuard<'_, StreamTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
