//! Life of a daemon: serving, leaving for a planned stop, stopped.
//!
//! A planned stop has two steps. First the host says that it is not ready but goes on serving, so
//! that the balancer moves away before anything is refused; then it refuses new work, truly not
//! run, and lets what runs finish.

use tokio::sync::watch;

/// Step of a daemon's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifecycleStep {
    /// It takes new work.
    Serving,
    /// It takes new work, but asks the balancer for none.
    Leaving,
    /// It takes no new work; what runs may finish.
    Closed,
}

/// Follows the step of a daemon's life.
#[derive(Clone, Debug)]
pub struct LifecycleWatch {
    step: watch::Receiver<LifecycleStep>,
}

/// Sets the step of a daemon's life.
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
    /// Moves to `step`; a life never goes back.
    pub fn advance(&self, step: LifecycleStep) {
        self.step.send_replace(step);
    }

    /// A watch on the step.
    pub fn watch(&self) -> LifecycleWatch {
        LifecycleWatch {
            step: self.step.subscribe(),
        }
    }
}

impl LifecycleWatch {
    /// The present step.
    pub fn step(&self) -> LifecycleStep {
        *self.step.borrow()
    }
}
