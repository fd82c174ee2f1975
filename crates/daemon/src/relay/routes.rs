//! The routes in force at this host, laid out for requests.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use pollendrift_coordination::base::Revision;
use pollendrift_coordination::configuration::Configuration;
use pollendrift_coordination::routes::RouteTable;
use pollendrift_dialect::{OperatorDialect, RefusalKind};

use super::request::{Refused, refused};
use crate::agreed::AgreedState;

/// Advice to a caller of a host that can't tell which routes are in force: an election takes about
/// as long.
const RETRY_UNKNOWN: Duration = Duration::from_millis(500);

/// Lays out the published source each time that it changes.
pub(crate) struct RouteFeed {
    agreed: Arc<dyn AgreedState>,
    dialect: Arc<dyn OperatorDialect>,
    laid_out: Mutex<Option<LaidOut>>,
}

#[derive(Clone)]
struct LaidOut {
    revision: Revision,
    table: Arc<RouteTable>,
}

impl RouteFeed {
    /// A feed of what `agreed` holds.
    pub(crate) fn new(agreed: Arc<dyn AgreedState>, dialect: Arc<dyn OperatorDialect>) -> Self {
        Self {
            agreed,
            dialect,
            laid_out: Mutex::default(),
        }
    }

    /// The routes to serve by.
    ///
    /// # Errors
    /// This host can't tell which routes are in force. It says so rather than that there is none.
    pub(super) fn current(&self) -> Result<Arc<RouteTable>, Refused> {
        let unknown = |reason: String| {
            let refusal = refused(RefusalKind::NotRun, reason);
            refusal.retry_after(RETRY_UNKNOWN)
        };
        let configuration = self
            .agreed
            .configuration()
            .map_err(|stale| unknown(stale.to_string()))?;
        let mut laid_out = self.laid_out.lock().unwrap_or_else(PoisonError::into_inner);
        let revision = configuration.revision();
        if let Some(known) = laid_out.as_ref().filter(|known| known.revision == revision) {
            return Ok(Arc::clone(&known.table));
        }
        let table = Arc::new(self.lay_out(&configuration).map_err(unknown)?);
        let version = table.version();
        log::info!(revision:% = revision, version:% = version; "routes in force");
        *laid_out = Some(LaidOut {
            revision,
            table: Arc::clone(&table),
        });
        Ok(table)
    }

    /// Why no routes are known; `None` if some are.
    pub(crate) fn gap(&self) -> Option<String> {
        self.current().err().map(|refused| refused.0.reason)
    }

    fn lay_out(&self, configuration: &Configuration) -> Result<RouteTable, String> {
        let source = configuration.source();
        let source = source.ok_or("no routes were published yet")?;
        let document = self.dialect.read_document(source.text.as_bytes());
        let document = document.map_err(|findings| {
            log::error!(version:% = source.version, findings:% = findings; "published routes not readable here");
            "the published routes can't be read here".to_owned()
        })?;
        Ok(RouteTable::build(document))
    }
}
