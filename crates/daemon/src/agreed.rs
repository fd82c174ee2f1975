//! The border between request handling and the state that keepers agree on.

use std::sync::{Arc, PoisonError, RwLock};

use pollendrift_coordination::configuration::Configuration;

/// State that all hosts agree on, as one host sees it.
pub trait AgreedState: Send + Sync {
    /// The configuration in force, or why this host can't tell which one is.
    ///
    /// # Errors
    /// The lease on the configuration's being current ran out.
    fn configuration(&self) -> Result<Arc<Configuration>, StaleConfiguration>;
}

/// This host can't tell which configuration is in force.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("this host can't tell which configuration is in force: {reason}")]
pub struct StaleConfiguration {
    /// What it waits for.
    pub reason: String,
}

/// A configuration held in this process alone, for one host without keepers.
#[derive(Debug)]
pub struct LocalState {
    configuration: RwLock<Arc<Configuration>>,
}

impl LocalState {
    /// Starts from `configuration`.
    pub fn new(configuration: Arc<Configuration>) -> Self {
        Self {
            configuration: RwLock::new(configuration),
        }
    }
}

impl AgreedState for LocalState {
    fn configuration(&self) -> Result<Arc<Configuration>, StaleConfiguration> {
        Ok(Arc::clone(
            &self
                .configuration
                .read()
                .unwrap_or_else(PoisonError::into_inner),
        ))
    }
}
