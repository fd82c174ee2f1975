//! Tracks which published specifications of services changed.

use std::collections::HashMap;
use std::sync::Arc;

use super::document::{ServiceSpec, SourceVersion};
use super::table::RouteTable;
use crate::base::{ServiceName, number_type};

number_type!(
    /// Number of a specification; consecutive equal specifications have the same number.
    SpecGeneration(u64)
);

/// Generations of the specifications in force.
///
/// Most changes of a document affect a few routes and no specification. If each change updated all
/// engines, hosts would plan all their pipelines again, and their streams would pause.
#[derive(Clone, Debug, Default)]
pub struct SpecGenerations {
    version: Option<SourceVersion>,
    generations: HashMap<ServiceName, (Arc<ServiceSpec>, SpecGeneration)>,
    last: SpecGeneration,
}

impl SpecGenerations {
    /// Updates the generations from the table in force; returns whether its version changed.
    pub fn update(&mut self, table: &RouteTable) -> bool {
        if self.version == Some(table.version()) {
            return false;
        }
        self.version = Some(table.version());
        let mut previous = std::mem::take(&mut self.generations);
        let mut specs: Vec<&Arc<ServiceSpec>> = table.services().collect();
        specs.sort_by(|a, b| a.name.cmp(&b.name));
        for spec in specs {
            let known = previous.remove(&spec.name);
            let unchanged = known.filter(|(previous, _)| previous == spec);
            let generation = unchanged.map_or_else(|| self.next(), |(_, generation)| generation);
            let entry = (Arc::clone(spec), generation);
            self.generations.insert(spec.name.clone(), entry);
        }
        true
    }

    /// Generation of a service's specification; `None` if the service is not published.
    pub fn get(&self, service: &ServiceName) -> Option<SpecGeneration> {
        self.generations
            .get(service)
            .map(|(_, generation)| *generation)
    }

    fn next(&mut self) -> SpecGeneration {
        self.last = self.last.next();
        self.last
    }
}
