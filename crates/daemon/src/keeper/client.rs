//! Client of the agreement group on any host; uses the local keeper or keepers of peers.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use pollendrift_coordination::agreement::LogIndex;
use pollendrift_coordination::base::HostName;
use tokio::time::{Instant, sleep, timeout_at};

use super::error::SubmitError;
use super::list::KeeperList;
use super::port::{KeeperPort, KeeperRequest, LocalOutcome};
use crate::peers::{CallError, PeerAnswer, PeerHub, PeerQuestion};

/// Timeouts and back-off of a [`KeeperClient`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClientSettings {
    /// Time limit for one request, including attempts at other keepers.
    pub request_timeout: Duration,
    /// Time limit for one attempt at one keeper.
    pub attempt_timeout: Duration,
    /// First wait before the next attempt while there is no known leader; doubles with each wait.
    pub base_backoff: Duration,
    /// Upper limit of that wait.
    pub max_backoff: Duration,
}

/// Minimum time left for another attempt; a busy host answers within it.
///
/// An attempt that timed out right after it was sent turned the command's outcome into "unknown"
/// although no keeper had accepted it, and the caller could not send it again.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(250);

impl Default for ClientSettings {
    fn default() -> Self {
        Self {
            request_timeout: Duration::from_secs(5),
            attempt_timeout: Duration::from_millis(1_500),
            base_backoff: Duration::from_millis(20),
            max_backoff: Duration::from_millis(200),
        }
    }
}

/// Whether a command with an unknown outcome may be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPermission {
    /// Not sent again: it would run twice.
    Never,
    /// Sent again: the state machine recognises the command by its id and returns the same answer.
    Idempotent,
}

/// Submits commands and requests read barriers; clones share the last known leader.
#[derive(Clone)]
pub struct KeeperClient {
    hub: PeerHub,
    /// Keeper of this host, if it has one.
    local: Option<KeeperPort>,
    keepers: KeeperList,
    settings: ClientSettings,
    leader: Arc<Mutex<Option<HostName>>>,
}

/// Result of sending a question to one keeper.
enum Attempt {
    Answered(PeerAnswer),
    /// Not run by this keeper; another keeper may run it.
    TryAnother {
        leader: Option<HostName>,
        reason: String,
    },
    /// The keeper may have run it; contains the reason.
    Unknown(String),
}

impl KeeperClient {
    /// Creates a client of `keepers` with no known leader; `local` is the keeper of this host.
    #[must_use]
    pub fn new(
        hub: PeerHub,
        keepers: KeeperList,
        local: Option<KeeperPort>,
        settings: ClientSettings,
    ) -> Self {
        Self {
            hub,
            local,
            keepers,
            settings,
            leader: Arc::default(),
        }
    }

    /// Runs a command through the agreement group and returns the state machine's answer.
    ///
    /// # Errors
    /// [`SubmitError::NotRun`] only if no attempt may have run the command;
    /// [`SubmitError::Unknown`] otherwise.
    pub async fn submit(
        &self,
        command: Vec<u8>,
        retry: RetryPermission,
    ) -> Result<Vec<u8>, SubmitError> {
        let question = PeerQuestion::Submit(command.into());
        match self.ask(question, retry).await? {
            PeerAnswer::Submitted(answer) => Ok(answer.0.to_vec()),
            _ => Err(SubmitError::unknown("keeper answered another question")),
        }
    }

    /// Returns the log index that a state must contain to include every command accepted before
    /// this call. On a host with a keeper, the local state machine contains it on return.
    ///
    /// # Errors
    /// No leader was confirmed by a quorum in time, or the local keeper did not apply the index
    /// in time.
    pub async fn read_barrier(&self) -> Result<LogIndex, SubmitError> {
        let answer = self.ask(PeerQuestion::ReadBarrier, RetryPermission::Idempotent);
        let PeerAnswer::Readable(index) = answer.await? else {
            return Err(SubmitError::not_run("keeper answered another question"));
        };
        let index = LogIndex(index);
        if let Some(local) = &self.local {
            let deadline = Instant::now() + self.settings.request_timeout;
            timeout_at(deadline, local.wait_applied(index))
                .await
                .map_err(|_| SubmitError::not_run("own keeper lags behind"))??;
        }
        Ok(index)
    }

    /// Sends the question to the likely leader, then to the other keepers, until one answers or the
    /// request times out.
    ///
    /// Timeouts use tokio's monotonic clock, which may stop while the machine is suspended. This
    /// doesn't extend the validity of an answer: however late it arrives, it shows the state of a
    /// quorum at or after the question, and leases based on it start before the question by the
    /// boot clock.
    async fn ask(
        &self,
        question: PeerQuestion,
        retry: RetryPermission,
    ) -> Result<PeerAnswer, SubmitError> {
        let deadline = Instant::now() + self.settings.request_timeout;
        let mut unknown = None;
        let mut reason = "no keeper is known".to_owned();
        let mut next = self.likely_leader();
        let mut backoff = self.settings.base_backoff;
        let mut attempts = 0;
        loop {
            let Some(host) = next.take().or_else(|| self.keeper_in_turn(attempts)) else {
                return Err(SubmitError::not_run(reason));
            };
            attempts += 1;
            match self.attempt(&host, question.clone(), deadline).await {
                Attempt::Answered(answer) => return self.conclude(host, answer, unknown),
                Attempt::TryAnother {
                    leader,
                    reason: new_reason,
                } => {
                    reason = new_reason;
                    next = leader.filter(|leader| *leader != host);
                }
                Attempt::Unknown(new_reason) if retry == RetryPermission::Never => {
                    self.set_leader(None);
                    return Err(SubmitError::unknown(new_reason));
                }
                Attempt::Unknown(new_reason) => unknown = Some(new_reason),
            }
            if next.is_none() {
                self.set_leader(None);
                // Without jitter, hundreds of hosts that retry in step would keep the keepers from
                // electing a leader.
                sleep(backoff.mul_f64(rand::random_range(0.5..=1.0))).await;
                backoff = (backoff * 2).min(self.settings.max_backoff);
            }
            if Instant::now() + MIN_ATTEMPT_TIME >= deadline {
                return Err(
                    unknown.map_or_else(|| SubmitError::not_run(reason), SubmitError::unknown)
                );
            }
        }
    }

    /// Converts the last answer. An earlier attempt with an unknown outcome takes precedence over
    /// "not run".
    fn conclude(
        &self,
        host: HostName,
        answer: PeerAnswer,
        unknown: Option<String>,
    ) -> Result<PeerAnswer, SubmitError> {
        match answer {
            PeerAnswer::NotRun { reason } => {
                Err(unknown.map_or_else(|| SubmitError::not_run(reason), SubmitError::unknown))
            }
            answer => {
                self.set_leader(Some(host));
                Ok(answer)
            }
        }
    }

    async fn attempt(&self, host: &HostName, question: PeerQuestion, deadline: Instant) -> Attempt {
        let attempt_end = deadline.min(Instant::now() + self.settings.attempt_timeout);
        match &self.local {
            Some(local) if host == self.hub.host() => {
                let outcome = timeout_at(attempt_end, attempt_local(local, question)).await;
                outcome.unwrap_or_else(|_| Attempt::Unknown("no answer in time".to_owned()))
            }
            _ => self.attempt_peer(host, question, attempt_end).await,
        }
    }

    async fn attempt_peer(
        &self,
        host: &HostName,
        question: PeerQuestion,
        attempt_end: Instant,
    ) -> Attempt {
        let answer_timeout = attempt_end.saturating_duration_since(Instant::now());
        match self.hub.call(host, question, 1, answer_timeout).await {
            Ok(PeerAnswer::NotLeader { leader }) => Attempt::TryAnother {
                leader,
                reason: "no keeper leads".to_owned(),
            },
            Ok(PeerAnswer::Unknown { reason }) => Attempt::Unknown(reason),
            Ok(answer) => Attempt::Answered(answer),
            Err(CallError::NotSent { reason }) => Attempt::TryAnother {
                leader: None,
                reason: format!("{host}: {reason}"),
            },
            Err(CallError::NoAnswer { reason }) => Attempt::Unknown(format!("{host}: {reason}")),
        }
    }

    /// Leader known to the local keeper, or the local keeper itself. On a host without a keeper,
    /// the keeper that answered last.
    fn likely_leader(&self) -> Option<HostName> {
        let Some(local) = &self.local else {
            let leader = self.leader.lock().unwrap_or_else(PoisonError::into_inner);
            return leader.clone();
        };
        let leader = local.status().leader.map(|leader| leader.host);
        leader.or_else(|| Some(self.hub.host().clone()))
    }

    /// Keepers in round-robin order; the first one depends on the host's name, so that hosts start
    /// at different keepers.
    fn keeper_in_turn(&self, attempts: usize) -> Option<HostName> {
        let own = self.hub.host().as_str().bytes().map(usize::from);
        let start = own.fold(0, usize::wrapping_add);
        let keepers = self.keepers.hosts();
        let position = start.wrapping_add(attempts).checked_rem(keepers.len())?;
        keepers.get(position).cloned()
    }

    fn set_leader(&self, leader: Option<HostName>) {
        *self.leader.lock().unwrap_or_else(PoisonError::into_inner) = leader;
    }
}

async fn attempt_local(local: &KeeperPort, question: PeerQuestion) -> Attempt {
    match question {
        PeerQuestion::Submit(command) => {
            let command = command.0.as_ref().into();
            let outcome = local.ask(|outcome| KeeperRequest::Submit { command, outcome });
            into_attempt(outcome.await, |answer: Vec<u8>| {
                PeerAnswer::Submitted(answer.into())
            })
        }
        _ => {
            let outcome = local.ask(|outcome| KeeperRequest::Read { outcome });
            into_attempt(outcome.await, |index: LogIndex| {
                PeerAnswer::Readable(index.0)
            })
        }
    }
}

fn into_attempt<T, F>(outcome: LocalOutcome<T>, to_answer: F) -> Attempt
where
    F: FnOnce(T) -> PeerAnswer,
{
    match outcome {
        LocalOutcome::Done(value) => Attempt::Answered(to_answer(value)),
        LocalOutcome::NotLeader(leader) => Attempt::TryAnother {
            leader: leader.map(|leader| leader.host),
            reason: "no keeper leads".to_owned(),
        },
        LocalOutcome::Failed(SubmitError::NotRun { reason }) => {
            Attempt::Answered(PeerAnswer::NotRun { reason })
        }
        LocalOutcome::Failed(SubmitError::Unknown { reason }) => Attempt::Unknown(reason),
    }
}
