//! `pollendrift run`: runs one daemon from its settings to its planned stop.

use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use pollendrift::daemon::{DaemonExtras, RouterDaemon, StartError};
use pollendrift::settings::{DaemonSettings, LoadedSettings};
use pollendrift::telemetry::LogControl;
use pollendrift_coordination::base::FindingList;
use tokio::runtime::Builder;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::sleep;

/// Pause between two start attempts of a host whose disk is full.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Exit code for invalid settings.
const EXIT_FINDINGS: u8 = 2;

/// Runs the daemon; exits with 0 after a planned stop in which all requests finished.
pub(crate) fn run(path: &Path) -> ExitCode {
    let loaded = match DaemonSettings::load(path) {
        Ok(loaded) => loaded,
        Err(findings) => return refuse(&findings),
    };
    let runtime = match runtime_builder().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return fail(&error),
    };
    let result = runtime.block_on(serve(path, loaded));
    log::logger().flush();
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => fail(error.as_ref()),
    }
}

/// Returns a single-threaded runtime on one core, where switching between threads costs more than
/// it gains.
fn runtime_builder() -> Builder {
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    if cores == 1 {
        return Builder::new_current_thread();
    }
    Builder::new_multi_thread()
}

fn refuse(findings: &FindingList) -> ExitCode {
    eprint!("{findings}");
    ExitCode::from(EXIT_FINDINGS)
}

fn fail(error: &dyn std::error::Error) -> ExitCode {
    eprintln!("pollendrift: {error}");
    ExitCode::FAILURE
}

async fn serve(path: &Path, loaded: LoadedSettings) -> Result<bool, Box<dyn std::error::Error>> {
    let LoadedSettings { settings, warnings } = loaded;
    let logs = LogControl::start(&settings.logs)?;
    let warnings: Vec<String> = warnings.iter().map(ToString::to_string).collect();
    for warning in &warnings {
        log::warn!("{warning}");
    }
    let mut signals = ProcessSignals::new()?;
    let start = || start_daemon(&settings, &warnings);
    let Some(mut daemon) =
        start_with_retries(start, StartError::is_disk_full, &mut signals).await?
    else {
        return Ok(true);
    };
    log::info!(host:% = settings.host; "serving");
    loop {
        tokio::select! {
            action = signals.next() => match action {
                SignalAction::Stop => break,
                SignalAction::Reload => reload(path, &daemon, &logs),
            },
            () = daemon.disk_full() => {
                log::error!(host:% = settings.host; "disk is full; the keeper starts again once it has room");
                // Its tasks must end before its addresses and its folder can be used again.
                drop(daemon);
                sleep(RETRY_PAUSE).await;
                let Some(restarted) = start_with_retries(start, |_| true, &mut signals).await? else {
                    return Ok(true);
                };
                daemon = restarted;
                log::info!(host:% = settings.host; "serving again");
            }
        }
    }
    log::info!(host:% = settings.host; "leaving as planned");
    let draining = daemon.drain();
    let mut draining = std::pin::pin!(draining);
    loop {
        tokio::select! {
            finished = &mut draining => {
                log::info!(finished = finished; "stopped");
                return Ok(finished);
            }
            action = signals.next() => match action {
                SignalAction::Stop => log::warn!("stop is already in progress; running requests are not aborted"),
                SignalAction::Reload => log::warn!("stop is in progress; settings are not reloaded"),
            },
        }
    }
}

async fn start_daemon(
    settings: &DaemonSettings,
    warnings: &[String],
) -> Result<RouterDaemon, StartError> {
    let extras = DaemonExtras {
        dialect: Some(pollendrift_platform::dialect()),
        ..DaemonExtras::default()
    };
    RouterDaemon::start_with(settings, warnings.to_vec(), extras).await
}

/// Starts the daemon and retries after transient errors; `None` if a stop signal arrives meanwhile.
///
/// The disk of a keeper may be full for a few seconds. Without the retries each such keeper would
/// be lost until a manual restart, so a few short faults in succession would leave no quorum. If
/// the process ended instead of waiting, it would be restarted repeatedly while its disk is full.
async fn start_with_retries<D, S, P, F>(
    start: S,
    is_transient: P,
    signals: &mut ProcessSignals,
) -> Result<Option<D>, StartError>
where
    S: Fn() -> F,
    F: Future<Output = Result<D, StartError>>,
    P: Fn(&StartError) -> bool,
{
    loop {
        match start().await {
            Ok(daemon) => return Ok(Some(daemon)),
            Err(error) if is_transient(&error) => {
                log::warn!(error:% = error; "not started; trying again");
            }
            Err(error) => return Err(error),
        }
        tokio::select! {
            () = sleep(RETRY_PAUSE) => {}
            action = signals.next() => if action == SignalAction::Stop {
                return Ok(None);
            },
        }
    }
}

/// Reloads tokens, keys and log levels; all other settings need a restart.
fn reload(path: &Path, daemon: &RouterDaemon, logs: &LogControl) {
    let loaded = match DaemonSettings::load(path) {
        Ok(loaded) => loaded,
        Err(findings) => {
            log::error!("settings not reloaded, the old settings stay in use:\n{findings}");
            return;
        }
    };
    if let Err(error) = daemon.access().reload(&loaded.settings) {
        log::error!("tokens and keys not reloaded, the old ones stay in use: {error}");
    }
    if let Err(error) = logs.apply(&loaded.settings.logs) {
        log::error!("log levels not reloaded, the old ones stay in use: {error}");
    }
    log::info!("settings read again");
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SignalAction {
    Stop,
    Reload,
}

struct ProcessSignals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl ProcessSignals {
    fn new() -> std::io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    async fn next(&mut self) -> SignalAction {
        tokio::select! {
            _ = self.terminate.recv() => SignalAction::Stop,
            _ = self.interrupt.recv() => SignalAction::Stop,
            _ = self.hangup.recv() => SignalAction::Reload,
        }
    }
}

#[cfg(test)]
mod tests;
