//! Structured logs: one JSON object per line, written to standard output.
//!
//! A record carries the request, customer and revision under the keys of [`log_field`]:
//! `log::info!(request = id.as_str(); "refused")`. No line is written per token, and no line
//! contains a token, a key or the text of a prompt.

use derive_more::{Display, Error, From};
use log::SetLoggerError;
use log4rs::append::Append;
use log4rs::config::runtime::ConfigErrors;
use log4rs::config::{Appender, Config, Logger, Root};

use super::lines::{LineAppender, LineSettings};
use crate::settings::LogSettings;

const APPENDER: &str = "lines";

/// Keys of the identifiers in log records.
pub mod log_field {
    /// Customer of a request.
    pub const CUSTOMER: &str = "customer";
    /// Host of the reported event.
    pub const HOST: &str = "host";
    /// Request id.
    pub const REQUEST: &str = "request";
    /// Revision in force.
    pub const REVISION: &str = "revision";
}

/// Reason why logs can't be written by the settings.
#[derive(Debug, Display, Error, From)]
pub enum LogError {
    /// A package name is not a module path.
    #[display("log levels: {_0}")]
    Levels(ConfigErrors),
    /// The thread that writes lines can't be started.
    #[display("log lines: {_0}")]
    Writer(std::io::Error),
    /// The process has already started its logs.
    #[display("logging has already been started: {_0}")]
    Started(SetLoggerError),
}

/// Handle to the running logs; changes their levels.
#[derive(Clone, Debug)]
pub struct LogControl {
    handle: log4rs::Handle,
}

impl LogControl {
    /// Starts the logs of this process.
    ///
    /// # Errors
    ///
    /// If the levels can't be used or the logs are already started.
    pub fn start(settings: &LogSettings) -> Result<Self, LogError> {
        let config = log_config(settings, stdout_appender()?)?;
        let handle = log4rs::init_config(config)?;
        Ok(Self { handle })
    }

    /// Applies new levels; called on SIGHUP.
    ///
    /// # Errors
    ///
    /// If the levels can't be used; the old levels stay.
    pub fn apply(&self, settings: &LogSettings) -> Result<(), LogError> {
        self.handle
            .set_config(log_config(settings, stdout_appender()?)?);
        Ok(())
    }
}

/// Returns a log configuration with the levels of `settings` that writes to `appender`.
///
/// # Errors
///
/// If a package name is not a module path.
pub fn log_config(settings: &LogSettings, appender: Box<dyn Append>) -> Result<Config, LogError> {
    let loggers = settings.packages.iter().map(|(package, level)| {
        // Settings may contain a Cargo package name; a module path has `_` instead of `-`.
        Logger::builder().build(package.replace('-', "_"), *level)
    });
    let root = Root::builder().appender(APPENDER).build(settings.level);
    let config = Config::builder()
        .appender(Appender::builder().build(APPENDER, appender))
        .loggers(loggers)
        .build(root)?;
    Ok(config)
}

fn stdout_appender() -> Result<Box<dyn Append>, LogError> {
    let appender = LineAppender::start(LineSettings::default(), std::io::stdout())?;
    Ok(Box::new(appender))
}
