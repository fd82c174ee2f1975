//! Which published specifications differ from those before.

use std::collections::HashMap;
use std::sync::Arc;

use super::document::{ServiceSpec, SourceVersion};
use super::table::RouteTable;
use crate::base::{ServiceName, number_type};

number_type!(
    /// Number of a specification; equal for equal specifications that follow each other.
    SpecGeneration(u64)
);

/// Editions of the specifications in force.
///
/// Most changes of a document touch a few routes and no specification of a service. Told of all engines
/// anew at each of them, a host worked out all its pipelines again, and its streams paused.
#[derive(Clone, Debug, Default)]
pub struct SpecGenerations {
    version: Option<SourceVersion>,
    editions: HashMap<ServiceName, (Arc<ServiceSpec>, SpecGeneration)>,
    last: SpecGeneration,
}

impl SpecGenerations {
    /// Follows the table in force; says whether it is another one than before.
    pub fn follow(&mut self, table: &RouteTable) -> bool {
        if self.version == Some(table.version()) {
            return false;
        }
        self.version = Some(table.version());
        let mut former = std::mem::take(&mut self.editions);
        let mut specs: Vec<&Arc<ServiceSpec>> = table.services().collect();
        specs.sort_by(|a, b| a.name.cmp(&b.name));
        for spec in specs {
            let known = former.remove(&spec.name);
            let same = known.filter(|(former, _)| former == spec);
            let edition = same.map_or_else(|| self.next(), |(_, edition)| edition);
            let entry = (Arc::clone(spec), edition);
            self.editions.insert(spec.name.clone(), entry);
        }
        true
    }

    /// Edition of a service's specification; `None` where it is not published.
    pub fn get(&self, service: &ServiceName) -> Option<SpecGeneration> {
        self.editions.get(service).map(|(_, edition)| *edition)
    }

    fn next(&mut self) -> SpecGeneration {
        self.last = self.last.next();
        self.last
    }
}
