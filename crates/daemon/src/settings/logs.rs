//! Settings of the logs.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::reader::SectionReader;

/// Accepted levels, least verbose first.
const LEVELS: &str = "off, error, warn, info, debug, trace";

/// Log levels by package.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogSettings {
    /// Level of the packages that `packages` does not contain.
    pub level: log::LevelFilter,
    /// Levels of individual packages or modules, such as `pollendrift::entry`.
    pub packages: BTreeMap<Arc<str>, log::LevelFilter>,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            level: log::LevelFilter::Info,
            packages: BTreeMap::new(),
        }
    }
}

impl LogSettings {
    pub(super) fn read(section: &mut SectionReader<'_>) -> Self {
        let default = Self::default();
        let level = section.optional("level", LEVELS);
        let mut packages = BTreeMap::new();
        for (package, level) in section.pairs("packages") {
            match level.value.parse() {
                Ok(filter) => {
                    packages.insert(package.value.into(), filter);
                }
                Err(_) => {
                    let message = format!("`{}` is not a level", level.value);
                    section.error(level.place, message, LEVELS);
                }
            }
        }
        Self {
            level: level.map_or(default.level, |level| level.value),
            packages,
        }
    }
}
