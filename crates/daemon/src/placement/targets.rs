//! Placement targets of selectors, and the engines that may be ordered for them.

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

/// Selectors that name a model with a version, and the configuration that they belong to.
pub(super) struct TargetSelection<'configuration> {
    configuration: &'configuration Configuration,
    /// Selectors in matching order, each with its weights.
    selectors: Vec<(WeightsId, &'configuration Selector)>,
    /// Models that a selector names without a version; any version of them may be in use.
    unversioned_models: BTreeSet<ModelName>,
}

/// Largest number of layers that each engine has had loaded; at least that many fit into its
/// memory.
#[derive(Debug, Default)]
pub(super) struct EngineSpans {
    max_layers: BTreeMap<ServerName, u32>,
}

impl<'configuration> TargetSelection<'configuration> {
    pub(super) fn new(configuration: &'configuration Configuration) -> Self {
        let mut selectors = Vec::new();
        let mut unversioned_models = BTreeSet::new();
        for (_, selector) in configuration.selectors() {
            let SelectorTarget::Model { model, version, .. } = &selector.target else {
                continue;
            };
            let Some(version) = version.clone() else {
                unversioned_models.insert(model.clone());
                continue;
            };
            let model = model.clone();
            selectors.push((WeightsId { model, version }, selector));
        }
        selectors.sort_by_key(|(_, selector)| (selector.order, selector.name.clone()));
        Self {
            configuration,
            selectors,
            unversioned_models,
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.selectors.is_empty()
    }

    /// Returns the targets whose number of layers is known from an engine, in selector order.
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
                    typical_draft: None,
                });
            }
        }
        targets
    }

    /// Returns the observations of the engines for placement. An engine that holds target weights
    /// but that no selector allows to serve them is part of no pipeline, so it is omitted.
    pub(super) fn observe(
        &self,
        engines: &[FleetEngine],
        spans: &mut EngineSpans,
    ) -> Vec<EngineObservation> {
        let names: BTreeSet<&ServerName> = engines.iter().map(|e| &e.view.facts.name).collect();
        spans.max_layers.retain(|server, _| names.contains(server));
        let observations = engines.iter().filter_map(|engine| {
            let offer = offer_of(engine)?;
            self.observe_one(engine, offer, spans)
        });
        observations.collect()
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
        let max_loaded = spans.max_layers.entry(facts.name.clone()).or_default();
        *max_loaded = layers.len().max(*max_loaded);
        if !self.may_serve(facts, &weights) {
            return None;
        }
        let rate = offer.decode_tokens_per_second * u64::from(layers.len());
        let max_layers = if self.may_be_ordered(facts, &weights.model) {
            *max_loaded
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

    /// Whether placement may order this engine: every selector of its model must name a version, so
    /// that only placement needs its weights, and the engine must be allowed to serve every target.
    fn may_be_ordered(&self, facts: &ServerFacts, model: &ModelName) -> bool {
        let is_target = self.selectors.iter().any(|(id, _)| id.model == *model);
        if !is_target || self.unversioned_models.contains(model) {
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
