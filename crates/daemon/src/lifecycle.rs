//! Life of a daemon: serving, leaving for a planned stop, stopped.
//!
//! A planned stop has two steps. First the host says that it is not ready but goes on serving, so
//! that the balancer moves away before anything is refused; then it refuses new work, truly not
//! run, and lets what runs finish.

use tokio::sync::watch;

/// Step of a daemon's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifeStep {
    /// It takes new work.
    Serving,
    /// It takes new work, but asks the balancer for none.
    Leaving,
    /// It takes no new work; what runs may finish.
    Closed,
}

/// Follows the step of a daemon's life.
#[derive(Clone, Debug)]
pub struct LifeWatch {
    step: watch::Receiver<LifeStep>,
}

/// Sets the step of a daemon's life.
#[derive(Debug)]
pub struct LifeControl {
    step: watch::Sender<LifeStep>,
}

impl Default for LifeControl {
    fn default() -> Self {
        Self {
            step: watch::Sender::new(LifeStep::Serving),
        }
    }
}

impl LifeControl {
    /// Moves to `step`; a life never goes back.
    pub fn advance(&self, step: LifeStep) {
        self.step.send_replace(step);
    }

    /// A watch on the step.
    pub fn watch(&self) -> LifeWatch {
        LifeWatch {
            step: self.step.subscribe(),
        }
    }
}

impl LifeWatch {
    /// The present step.
    pub fn step(&self) -> LifeStep {
        *self.step.borrow()
    }
}
