//! Structured logs: one JSON object a line, to standard output.
//!
//! A record carries the request, customer and revision under the keys of [`log_field`]: `log::info!(request = id.as_str(); "refused")`. No line is written per token, and
//! no line holds a token, a key or the text of a prompt.

use derive_more::{Display, Error, From};
use log::SetLoggerError;
use log4rs::append::Append;
use log4rs::config::runtime::ConfigErrors;
use log4rs::config::{Appender, Config, Logger, Root};

use super::lines::{LineAppender, LineSettings};
use crate::settings::LogSettings;

const APPENDER: &str = "lines";

/// Keys under which log records carry what they are about.
pub mod log_field {
    /// Customer of a request.
    pub const CUSTOMER: &str = "customer";
    /// Host that a record is about.
    pub const HOST: &str = "host";
    /// Request id.
    pub const REQUEST: &str = "request";
    /// Revision in force.
    pub const REVISION: &str = "revision";
}

/// Why logs can't be written as the settings say.
#[derive(Debug, Display, Error, From)]
pub enum LogError {
    /// A package name is no path of modules.
    #[display("log levels: {_0}")]
    Levels(ConfigErrors),
    /// The thread that writes lines can't be started.
    #[display("log lines: {_0}")]
    Writer(std::io::Error),
    /// Another part of the process has started logs before.
    #[display("logs are started already: {_0}")]
    Started(SetLoggerError),
}

/// Running logs, whose levels can change.
#[derive(Clone, Debug)]
pub struct LogControl {
    handle: log4rs::Handle,
}

impl LogControl {
    /// Starts the logs of this process.
    ///
    /// # Errors
    ///
    /// If the levels can't be used or logs were started before.
    pub fn start(settings: &LogSettings) -> Result<Self, LogError> {
        let config = log_config(settings, lines()?)?;
        let handle = log4rs::init_config(config)?;
        Ok(Self { handle })
    }

    /// Takes other levels into force; called on SIGHUP.
    ///
    /// # Errors
    ///
    /// If the levels can't be used; the old ones stay.
    pub fn change(&self, settings: &LogSettings) -> Result<(), LogError> {
        self.handle.set_config(log_config(settings, lines()?)?);
        Ok(())
    }
}

/// Logs with the levels of `settings` that go to `appender`.
///
/// # Errors
///
/// If a package name is no path of modules.
pub fn log_config(settings: &LogSettings, appender: Box<dyn Append>) -> Result<Config, LogError> {
    let loggers = settings.packages.iter().map(|(package, level)| {
        // Settings may name a package as Cargo does; a module path has `_` for `-`.
        Logger::builder().build(package.replace('-', "_"), *level)
    });
    let root = Root::builder().appender(APPENDER).build(settings.level);
    let config = Config::builder()
        .appender(Appender::builder().build(APPENDER, appender))
        .loggers(loggers)
        .build(root)?;
    Ok(config)
}

fn lines() -> Result<Box<dyn Append>, LogError> {
    let appender = LineAppender::start(LineSettings::default(), std::io::stdout())?;
    Ok(Box::new(appender))
}
