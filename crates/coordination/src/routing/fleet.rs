//! Table of the routable engines and the layer graphs that contain them.

use std::collections::{BTreeMap, HashMap};

use slotmap::{SecondaryMap, SlotMap, new_key_type};

use super::capacity::mean_capacity;
use super::correction::TimeCorrection;
use super::engine::EngineAnnouncement;
use super::graph::{GraphId, GroupShape, LayerGraph};
use super::link::{DataCentreIndex, LinkProperties, LinkTable};
use super::load::{LoadReport, LoadTracker};
use super::settings::RoutingSettings;
use crate::base::{AdapterName, DataCentreName, FindingList, MonotonicTime, ServerName};

new_key_type! {
    /// Key of an engine in the fleet table.
    pub struct EngineKey;

    /// Key of a layer graph in the fleet table.
    pub(crate) struct GraphKey;
}

/// A routable engine.
#[derive(Clone, Debug)]
pub struct EngineRecord {
    /// Newest announcement of the engine.
    pub announcement: EngineAnnouncement,
    /// When the engine joined or rejoined; its slow start begins at this time.
    pub joined: MonotonicTime,
    pub(crate) data_centre: DataCentreIndex,
    pub(crate) load: LoadTracker,
    /// Unchanged unless `RoutingSettings::time_correction` is set.
    pub(crate) correction: TimeCorrection,
    /// Constant of the engine's lane that is added to the rounding of allotments, in `0.0..1.0`.
    pub(crate) rounding: f64,
}

impl EngineRecord {
    pub(crate) fn shape(&self) -> GroupShape {
        GroupShape {
            layers: self.announcement.layers,
            data_centre: self.data_centre,
            role: self.announcement.role,
            kind: self.announcement.kind.clone(),
        }
    }

    fn graph_ids(&self) -> Vec<GraphId> {
        let announced = &self.announcement;
        let id = |adapter: Option<AdapterName>| GraphId {
            model: announced.model.clone(),
            adapter,
            version: announced.version.clone(),
            layers: announced.model_layers,
        };
        let mut ids = vec![id(None)];
        ids.extend(announced.adapters.iter().cloned().map(|a| id(Some(a))));
        ids.sort();
        ids.dedup();
        ids
    }
}

/// Effect of an announcement on the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpsertOutcome {
    /// The engine is new.
    Joined,
    /// The announcement replaced an older one.
    Updated,
    /// The announcement is not newer than the current one and was ignored.
    Ignored,
}

/// Engines by key and name, and the layer graphs that contain them.
///
/// Invariant: an engine is a member of exactly the graphs that its current announcement names. A
/// removed engine is in no graph.
#[derive(Debug)]
pub struct FleetTable {
    pub(crate) engines: SlotMap<EngineKey, EngineRecord>,
    by_name: HashMap<ServerName, EngineKey>,
    pub(crate) graphs: SlotMap<GraphKey, LayerGraph>,
    by_id: BTreeMap<GraphId, GraphKey>,
    memberships: SecondaryMap<EngineKey, Vec<GraphKey>>,
    pub(crate) links: LinkTable,
    settings: RoutingSettings,
}

impl FleetTable {
    /// Creates an empty table with the default links of `settings`.
    pub fn new(settings: RoutingSettings) -> Self {
        Self {
            engines: SlotMap::with_key(),
            by_name: HashMap::new(),
            graphs: SlotMap::with_key(),
            by_id: BTreeMap::new(),
            memberships: SecondaryMap::new(),
            links: LinkTable::new(settings.default_link, settings.local_latency),
            settings,
        }
    }

    /// Adds an engine or replaces its announcement.
    ///
    /// # Errors
    /// Returns all findings if the announcement is invalid; the current announcement then stays.
    pub fn upsert(
        &mut self,
        now: MonotonicTime,
        announcement: EngineAnnouncement,
    ) -> Result<UpsertOutcome, FindingList> {
        let findings = announcement.check();
        if findings.has_errors() {
            return Err(findings);
        }
        let Some(key) = self.find(&announcement.server) else {
            self.insert(now, announcement);
            return Ok(UpsertOutcome::Joined);
        };
        Ok(self.update(now, key, announcement))
    }

    /// Applies a load report; returns false and ignores it if the engine is unknown, the
    /// incarnation differs, or the report is not newer than the last one.
    pub fn report(&mut self, report: &LoadReport) -> bool {
        let key = self.find(&report.server);
        let record = key.and_then(|key| self.engines.get_mut(key));
        record.is_some_and(|record| {
            record.announcement.incarnation == report.incarnation && record.load.report(report)
        })
    }

    /// Removes an engine whose lease expired or that shut down; later routes do not include it.
    pub fn remove(&mut self, server: &ServerName) -> Option<EngineKey> {
        let key = self.by_name.remove(server)?;
        self.leave_graphs(key);
        self.engines.remove(key);
        Some(key)
    }

    /// Sets the link between two data centres in both directions. A changed link marks the flow at
    /// both ends as stale in every graph.
    pub fn set_link(
        &mut self,
        one: &DataCentreName,
        other: &DataCentreName,
        figures: LinkProperties,
    ) {
        if !self.links.set(one, other, figures) {
            return;
        }
        let ends = [self.links.intern(one), self.links.intern(other)];
        for graph in self.graphs.values_mut() {
            graph.stale.extend(ends);
        }
    }

    /// Returns the key of the engine named `server`.
    pub fn find(&self, server: &ServerName) -> Option<EngineKey> {
        self.by_name.get(server).copied()
    }

    /// Returns the engine with this key.
    pub fn get(&self, key: EngineKey) -> Option<&EngineRecord> {
        self.engines.get(key)
    }

    /// Iterates over all engines.
    pub fn iter(&self) -> impl Iterator<Item = (EngineKey, &EngineRecord)> {
        self.engines.iter()
    }

    /// Number of engines.
    pub fn len(&self) -> usize {
        self.engines.len()
    }

    /// Whether the table contains no engines.
    pub fn is_empty(&self) -> bool {
        self.engines.is_empty()
    }

    /// Graphs of a model with an adapter, in ascending order of version.
    pub(crate) fn graphs_of<'a>(
        &'a self,
        model: &'a crate::base::ModelName,
        adapter: Option<&'a AdapterName>,
    ) -> impl Iterator<Item = (GraphKey, &'a LayerGraph)> {
        let first = GraphId {
            model: model.clone(),
            adapter: adapter.cloned(),
            version: "".into(),
            layers: 0,
        };
        self.by_id
            .range(first..)
            .take_while(move |(id, _)| id.model == *model && id.adapter.as_ref() == adapter)
            .filter_map(|(_, key)| self.graphs.get(*key).map(|graph| (*key, graph)))
    }

    fn insert(&mut self, now: MonotonicTime, announcement: EngineAnnouncement) {
        let server = announcement.server.clone();
        let record = EngineRecord {
            data_centre: self.links.intern(&announcement.data_centre),
            announcement,
            joined: now,
            load: LoadTracker::default(),
            correction: TimeCorrection::default(),
            rounding: 0.0,
        };
        let key = self.engines.insert(record);
        self.by_name.insert(server, key);
        self.join_graphs(key);
    }

    fn update(
        &mut self,
        now: MonotonicTime,
        key: EngineKey,
        announcement: EngineAnnouncement,
    ) -> UpsertOutcome {
        let Some(record) = self.engines.get(key) else {
            return UpsertOutcome::Ignored;
        };
        let current = &record.announcement;
        if !current.is_older_than(&announcement) {
            return UpsertOutcome::Ignored;
        }
        let restarted = current.incarnation != announcement.incarnation;
        let mut same_sequence = announcement.clone();
        same_sequence.sequence = current.sequence;
        if same_sequence == *current {
            self.replace(key, announcement);
            return UpsertOutcome::Updated;
        }
        self.leave_graphs(key);
        self.replace(key, announcement);
        if restarted {
            self.restart(now, key);
        }
        self.join_graphs(key);
        UpsertOutcome::Updated
    }

    fn replace(&mut self, key: EngineKey, announcement: EngineAnnouncement) {
        let data_centre = self.links.intern(&announcement.data_centre);
        if let Some(record) = self.engines.get_mut(key) {
            if has_other_rates(&record.announcement, &announcement) {
                record.correction.reset();
            }
            record.announcement = announcement;
            record.data_centre = data_centre;
        }
    }

    /// Resets load and slow start: a restarted engine has no load and cold caches.
    fn restart(&mut self, now: MonotonicTime, key: EngineKey) {
        if let Some(record) = self.engines.get_mut(key) {
            record.joined = now;
            record.load.restart();
            record.correction.reset();
        }
    }

    fn join_graphs(&mut self, key: EngineKey) {
        let Some(record) = self.engines.get(key) else {
            return;
        };
        let shape = record.shape();
        let capacity = mean_capacity(&record.announcement, &self.settings.workload);
        let ids = record.graph_ids();
        let mut joined = Vec::with_capacity(ids.len());
        for id in ids {
            let graph_key = self.graph_for(id);
            if let Some(graph) = self.graphs.get_mut(graph_key) {
                graph.insert(key, shape.clone(), capacity);
                joined.push(graph_key);
            }
        }
        self.memberships.insert(key, joined);
    }

    fn leave_graphs(&mut self, key: EngineKey) {
        let Some(record) = self.engines.get(key) else {
            return;
        };
        let shape = record.shape();
        let capacity = mean_capacity(&record.announcement, &self.settings.workload);
        for graph_key in self.memberships.remove(key).unwrap_or_default() {
            let Some(graph) = self.graphs.get_mut(graph_key) else {
                continue;
            };
            graph.remove(key, &shape, capacity);
            if graph.groups.is_empty() {
                self.by_id.remove(&graph.id);
                self.graphs.remove(graph_key);
            }
        }
    }

    fn graph_for(&mut self, id: GraphId) -> GraphKey {
        if let Some(key) = self.by_id.get(&id) {
            return *key;
        }
        let key = self.graphs.insert(LayerGraph::new(id.clone()));
        self.by_id.insert(id, key);
        key
    }
}

/// Whether two announcements of an engine lead to different predictions of its time.
fn has_other_rates(one: &EngineAnnouncement, other: &EngineAnnouncement) -> bool {
    let rates = |announced: &EngineAnnouncement| {
        (
            announced.layers,
            announced.prefill_rate,
            announced.decode_rate,
            announced.step_floor,
        )
    };
    rates(one) != rates(other)
}
