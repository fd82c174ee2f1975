//! What selectors want placed, and which engines may be ordered for it.

use std::collections::{BTreeMap, BTreeSet};

use pollendrift_border::{EngineOffer, ServerOffer};
use pollendrift_coordination::base::{LayerRange, ModelName, ServerName};
use pollendrift_coordination::configuration::{
    Configuration, Selector, SelectorTarget, ServerFacts,
};
use pollendrift_coordination::placement::{
    EngineObservation, HeldWeights, PlacementTarget, WeightsId,
};

use crate::fleet::FleetEngine;

/// Selectors that name a model with a version, and what else bears on placement.
pub(super) struct TargetSelection<'held> {
    configuration: &'held Configuration,
    /// Selectors in the order in which they are tried, each with its weights.
    selectors: Vec<(WeightsId, &'held Selector)>,
    /// Models that a selector names without a version: any version of them may be in use.
    open: BTreeSet<ModelName>,
}

/// Longest span that each engine was seen to hold: so many layers surely fit.
#[derive(Debug, Default)]
pub(super) struct EngineSpans {
    longest: BTreeMap<ServerName, u32>,
}

impl<'held> TargetSelection<'held> {
    pub(super) fn new(configuration: &'held Configuration) -> Self {
        let mut selectors = Vec::new();
        let mut open = BTreeSet::new();
        for (_, selector) in configuration.selectors() {
            let SelectorTarget::Model { model, version, .. } = &selector.target else {
                continue;
            };
            let Some(version) = version.clone() else {
                open.insert(model.clone());
                continue;
            };
            let model = model.clone();
            selectors.push((WeightsId { model, version }, selector));
        }
        selectors.sort_by_key(|(_, selector)| (selector.order, selector.name.clone()));
        Self {
            configuration,
            selectors,
            open,
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.selectors.is_empty()
    }

    /// Targets whose number of layers some engine tells, the first selector's first.
    pub(super) fn targets(&self, engines: &[FleetEngine]) -> Vec<PlacementTarget> {
        let mut targets: Vec<PlacementTarget> = Vec::new();
        for (weights, _) in &self.selectors {
            if targets.iter().any(|target| target.weights == *weights) {
                continue;
            }
            let mut offers = engines.iter().filter_map(offer_of);
            let offer = offers.find(|offer| ModelName::from(offer.model.as_str()) == weights.model);
            if let Some(offer) = offer {
                targets.push(PlacementTarget {
                    weights: weights.clone(),
                    layers: offer.model_layers,
                    share: 1,
                    load: None,
                });
            }
        }
        targets
    }

    /// Engines as placement may see them. One that holds wanted weights and that no selector
    /// allows to serve them counts for no pipeline, so it is left out.
    pub(super) fn observe(
        &self,
        engines: &[FleetEngine],
        spans: &mut EngineSpans,
    ) -> Vec<EngineObservation> {
        let names: BTreeSet<&ServerName> = engines.iter().map(|e| &e.view.facts.name).collect();
        spans.longest.retain(|server, _| names.contains(server));
        let seen = engines.iter().filter_map(|engine| {
            let offer = offer_of(engine)?;
            self.observe_one(engine, offer, spans)
        });
        seen.collect()
    }

    fn observe_one(
        &self,
        engine: &FleetEngine,
        offer: &EngineOffer,
        spans: &mut EngineSpans,
    ) -> Option<EngineObservation> {
        let facts = &engine.view.facts;
        let weights = WeightsId {
            model: facts.model.clone()?,
            version: facts.version.clone()?,
        };
        let layers = LayerRange::new(offer.layers.first, offer.layers.end)?;
        let longest = spans.longest.entry(facts.name.clone()).or_default();
        *longest = layers.len().max(*longest);
        if !self.may_serve(facts, &weights) {
            return None;
        }
        let rate = offer.decode_tokens_per_second * u64::from(layers.len());
        let max_layers = if self.may_be_ordered(facts, &weights.model) {
            *longest
        } else {
            0
        };
        Some(EngineObservation {
            server: facts.name.clone(),
            max_layers,
            layer_rate: u32::try_from(rate).unwrap_or(u32::MAX),
            memory: None,
            checks_fencing: engine.checks_fencing,
            held: Some(HeldWeights { weights, layers }),
            loading: None,
        })
    }

    fn may_serve(&self, facts: &ServerFacts, weights: &WeightsId) -> bool {
        let own = self.selectors.iter().filter(|(id, _)| id == weights);
        let mut own = own.peekable();
        own.peek().is_none()
            || own.any(|(_, selector)| self.configuration.allows(selector, facts).is_ok())
    }

    /// An engine is ordered only if nothing but placement can need what it holds, which is so where
    /// every selector of its model names a version, and if every target may be served by it.
    fn may_be_ordered(&self, facts: &ServerFacts, model: &ModelName) -> bool {
        let is_placed = self.selectors.iter().any(|(id, _)| id.model == *model);
        if !is_placed || self.open.contains(model) {
            return false;
        }
        self.selectors.iter().all(|(id, selector)| {
            let loaded = ServerFacts {
                model: Some(id.model.clone()),
                version: Some(id.version.clone()),
                ..facts.clone()
            };
            self.configuration.allows(selector, &loaded).is_ok()
        })
    }
}

fn offer_of(engine: &FleetEngine) -> Option<&EngineOffer> {
    match &engine.view.offer {
        ServerOffer::Engine(offer) => Some(offer),
        ServerOffer::Service(_) => None,
    }
}
