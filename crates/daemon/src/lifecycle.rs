//! Lifecycle of a daemon: serving, leaving for a planned stop, closed, ending.
//!
//! A planned stop has three steps. First the host reports that it is not ready but still serves, so
//! that the load balancer stops sending requests before any is refused. Then it refuses new work,
//! which is certain not to run, and lets running work finish. Calls that still run shortly before the
//! end of the stop are answered as unknown, as their connections would be cut.

use tokio::sync::watch;

/// Step of a daemon's lifecycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LifecycleStep {
    /// The daemon accepts new work.
    Serving,
    /// The daemon accepts new work but reports not ready to the load balancer.
    Leaving,
    /// The daemon refuses new work; running work may finish.
    Closed,
    /// As `Closed`; calls that still run are given up.
    Ending,
}

/// Reads the step of a daemon's lifecycle.
#[derive(Clone, Debug)]
pub struct LifecycleWatch {
    step: watch::Receiver<LifecycleStep>,
}

/// Sets the step of a daemon's lifecycle.
#[derive(Debug)]
pub struct LifecycleControl {
    step: watch::Sender<LifecycleStep>,
}

impl Default for LifecycleControl {
    fn default() -> Self {
        Self {
            step: watch::Sender::new(LifecycleStep::Serving),
        }
    }
}

impl LifecycleControl {
    /// Moves to `step`; callers never move to an earlier step.
    pub fn advance(&self, step: LifecycleStep) {
        self.step.send_replace(step);
    }

    /// Returns a handle that reads the step.
    pub fn watch(&self) -> LifecycleWatch {
        LifecycleWatch {
            step: self.step.subscribe(),
        }
    }
}

impl LifecycleWatch {
    /// Whether the daemon accepts new work.
    pub fn accepts_work(&self) -> bool {
        self.step() < LifecycleStep::Closed
    }

    /// Resolves when running calls are to be given up.
    pub async fn ending(&self) {
        let mut step = self.step.clone();
        let waiting = step.wait_for(|step| *step == LifecycleStep::Ending);
        if waiting.await.is_err() {
            // The daemon was dropped, which ends its connections.
            std::future::pending::<()>().await;
        }
    }

    /// Returns the current step.
    pub fn step(&self) -> LifecycleStep {
        *self.step.borrow()
    }
}
