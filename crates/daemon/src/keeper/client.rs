//! Reaches the agreement group from any host: through the own keeper, or through peers.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use pollendrift_coordination::agreement::LogIndex;
use pollendrift_coordination::base::HostName;
use tokio::time::{Instant, sleep, timeout_at};

use super::error::SubmitError;
use super::list::KeeperList;
use super::port::{KeeperPort, KeeperRequest, LocalOutcome};
use crate::peers::{CallError, PeerAnswer, PeerHub, PeerQuestion};

/// Settings of a client of the keepers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClientSettings {
    /// Time for one request, attempts at other keepers included.
    pub request_timeout: Duration,
    /// Time for one attempt at one keeper.
    pub attempt_timeout: Duration,
    /// First wait before the keepers are asked again while none leads; each further one is twice as long.
    pub base_backoff: Duration,
    /// Longest such wait.
    pub max_backoff: Duration,
}

/// Least time that must be left for another attempt: within it a busy host answers.
///
/// An attempt that was cut short a moment after it was sent ended a command as one that may have been
/// done, though no keeper had taken it, and its caller could not come back with it.
const LEAST_ATTEMPT: Duration = Duration::from_millis(250);

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

/// What may be done with a command whose fate isn't known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPermission {
    /// Nothing: sent twice, it would run twice.
    Never,
    /// Send it again: the state machine recognises it by its id and answers the same.
    Idempotent,
}

/// Submits commands and asks for read barriers; clones share what they know of the leader.
#[derive(Clone)]
pub struct KeeperClient {
    hub: PeerHub,
    /// The own keeper, on a host that has one.
    local: Option<KeeperPort>,
    keepers: KeeperList,
    settings: ClientSettings,
    leader: Arc<Mutex<Option<HostName>>>,
}

/// What one keeper made of a question.
enum Attempt {
    Answered(PeerAnswer),
    /// Surely not done there; another keeper may be asked.
    Elsewhere {
        leader: Option<HostName>,
        reason: String,
    },
    /// May have been done.
    Unknown(String),
}

impl KeeperClient {
    /// A client of `keepers`; `local` is this host's own.
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
    /// [`SubmitError::NotRun`] only where every keeper that was asked proved that it took nothing.
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

    /// Index that a state must contain to show everything accepted before this call. On a host
    /// with a keeper, the state machine here contains it on return.
    ///
    /// # Errors
    /// No leader was confirmed by a quorum in time.
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

    /// Asks the likely leader, then the others, until one answers or time is up.
    ///
    /// Waits count by the steady clock of the timers that bound them. Nothing is believed for longer
    /// by it: an answer shows the state behind a quorum at or after the question, however late it
    /// comes, and leases that rest on it count from before the question by the boot clock.
    async fn ask(
        &self,
        question: PeerQuestion,
        retry: RetryPermission,
    ) -> Result<PeerAnswer, SubmitError> {
        let deadline = Instant::now() + self.settings.request_timeout;
        let mut unknown = None;
        let mut reason = "no keeper is known".to_owned();
        let mut next = self.first_choice();
        let mut pause = self.settings.base_backoff;
        let mut asked = 0;
        loop {
            let Some(host) = next.take().or_else(|| self.choice(asked)) else {
                return Err(SubmitError::not_run(reason));
            };
            asked += 1;
            match self.attempt(&host, question.clone(), deadline).await {
                Attempt::Answered(answer) => return self.conclude(host, answer, unknown),
                Attempt::Elsewhere {
                    leader,
                    reason: why,
                } => {
                    reason = why;
                    next = leader.filter(|leader| *leader != host);
                }
                Attempt::Unknown(why) if retry == RetryPermission::Never => {
                    self.remember(None);
                    return Err(SubmitError::unknown(why));
                }
                Attempt::Unknown(why) => unknown = Some(why),
            }
            if next.is_none() {
                self.remember(None);
                // Hundreds of hosts that ask at the same pace would keep keepers from electing a leader.
                sleep(pause.mul_f64(rand::random_range(0.5..=1.0))).await;
                pause = (pause * 2).min(self.settings.max_backoff);
            }
            if Instant::now() + LEAST_ATTEMPT >= deadline {
                return Err(
                    unknown.map_or_else(|| SubmitError::not_run(reason), SubmitError::unknown)
                );
            }
        }
    }

    /// The last answer decides, except that an earlier attempt of unknown fate outweighs "not run".
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
                self.remember(Some(host));
                Ok(answer)
            }
        }
    }

    async fn attempt(&self, host: &HostName, question: PeerQuestion, deadline: Instant) -> Attempt {
        let attempt_end = deadline.min(Instant::now() + self.settings.attempt_timeout);
        match &self.local {
            Some(local) if host == self.hub.host() => {
                let outcome = timeout_at(attempt_end, ask_local(local, question)).await;
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
        let patience = attempt_end.saturating_duration_since(Instant::now());
        match self.hub.call(host, question, 1, patience).await {
            Ok(PeerAnswer::NotLeader { leader }) => Attempt::Elsewhere {
                leader,
                reason: "no keeper leads".to_owned(),
            },
            Ok(PeerAnswer::Unknown { reason }) => Attempt::Unknown(reason),
            Ok(answer) => Attempt::Answered(answer),
            Err(CallError::NotSent { reason }) => Attempt::Elsewhere {
                leader: None,
                reason: format!("{host}: {reason}"),
            },
            Err(CallError::NoAnswer { reason }) => Attempt::Unknown(format!("{host}: {reason}")),
        }
    }

    /// The own keeper's view of the leader, or the keeper that answered last, or the own one.
    fn first_choice(&self) -> Option<HostName> {
        let Some(local) = &self.local else {
            let leader = self.leader.lock().unwrap_or_else(PoisonError::into_inner);
            return leader.clone();
        };
        let leader = local.status().leader.map(|leader| leader.host);
        leader.or_else(|| Some(self.hub.host().clone()))
    }

    /// The keepers in turn, starting at one that differs between hosts.
    fn choice(&self, asked: usize) -> Option<HostName> {
        let own = self.hub.host().as_str().bytes().map(usize::from);
        let start = own.fold(0, usize::wrapping_add);
        let keepers = self.keepers.hosts();
        let position = start.wrapping_add(asked).checked_rem(keepers.len())?;
        keepers.get(position).cloned()
    }

    fn remember(&self, leader: Option<HostName>) {
        *self.leader.lock().unwrap_or_else(PoisonError::into_inner) = leader;
    }
}

async fn ask_local(local: &KeeperPort, question: PeerQuestion) -> Attempt {
    match question {
        PeerQuestion::Submit(command) => {
            let command = command.0.as_ref().into();
            let asking = local.ask(|outcome| KeeperRequest::Submit { command, outcome });
            into_attempt(asking.await, |answer: Vec<u8>| {
                PeerAnswer::Submitted(answer.into())
            })
        }
        _ => {
            let asking = local.ask(|outcome| KeeperRequest::Read { outcome });
            into_attempt(asking.await, |index: LogIndex| {
                PeerAnswer::Readable(index.0)
            })
        }
    }
}

fn into_attempt<T, F>(outcome: LocalOutcome<T>, done: F) -> Attempt
where
    F: FnOnce(T) -> PeerAnswer,
{
    match outcome {
        LocalOutcome::Done(value) => Attempt::Answered(done(value)),
        LocalOutcome::NotLeader(leader) => Attempt::Elsewhere {
            leader: leader.map(|leader| leader.host),
            reason: "no keeper leads".to_owned(),
        },
        LocalOutcome::Failed(SubmitError::NotRun { reason }) => {
            Attempt::Answered(PeerAnswer::NotRun { reason })
        }
        LocalOutcome::Failed(SubmitError::Unknown { reason }) => Attempt::Unknown(reason),
    }
}
