//! Replaces the lost engines of a running chain.

use pollendrift_coordination::base::{MonotonicTime, ServerName};
use pollendrift_coordination::routing::{
    EngineRecord, NoRoute, RoutePlan, RoutePlanner, RoutePriority, RouteQuery,
};

use super::{ChainTable, ReservedChain, query_of};
use crate::relay::engine_estimates::pool_name;
use crate::relay::request::RelayRequest;

/// Lost engines of a running chain, and the engines that may replace them.
pub(in crate::relay) struct ChainRepair<'repair> {
    pub(in crate::relay) request: &'repair RelayRequest,
    /// Engines of the chain that no longer answer, or that declined to join it.
    pub(in crate::relay) lost: &'repair [ServerName],
    /// Events that the caller has received. They count as prompt tokens for the new engines.
    pub(in crate::relay) events_written: u32,
    /// Whether an engine may receive new work.
    pub(in crate::relay) may_take: &'repair dyn Fn(&ServerName) -> bool,
}

impl ChainTable {
    /// Reserves a chain in which other engines replace the lost ones of `chain`, preferably engines
    /// of the same data centre. `chain` still counts as running.
    pub(in crate::relay) fn repair(
        &mut self,
        now: MonotonicTime,
        chain: &ReservedChain,
        repair: &ChainRepair<'_>,
    ) -> Result<ReservedChain, NoRoute> {
        let plan = self.find_repair(now, chain, repair)?;
        self.start(now, plan, chain.plan.model_layers)
    }

    /// Whether [`ChainTable::repair`] would find engines.
    pub(in crate::relay) fn can_repair(
        &mut self,
        now: MonotonicTime,
        chain: &ReservedChain,
        repair: &ChainRepair<'_>,
    ) -> bool {
        self.find_repair(now, chain, repair).is_ok()
    }

    fn find_repair(
        &mut self,
        now: MonotonicTime,
        chain: &ReservedChain,
        repair: &ChainRepair<'_>,
    ) -> Result<RoutePlan, NoRoute> {
        let is_eligible = |engine: &EngineRecord| (repair.may_take)(&engine.announcement.server);
        let model = pool_name(&repair.request.service);
        let query = query_of(repair.request, &model, &is_eligible);
        let query = RouteQuery {
            excluded: repair.lost,
            prompt_tokens: query.prompt_tokens.saturating_add(repair.events_written),
            priority: RoutePriority::Urgent,
            ..query
        };
        let chain_centre = self.centres.iter().find(|centre| {
            let is_in_centre = |engine: &EngineRecord| engine.announcement.data_centre == **centre;
            let first = self.planner.fleet().find(&chain.first);
            first
                .and_then(|key| self.planner.fleet().get(key))
                .is_some_and(is_in_centre)
        });
        let local_query = RouteQuery {
            within: chain_centre,
            ..query
        };
        let planner = &mut self.planner;
        planner
            .repair(now, &chain.plan, &local_query)
            .or_else(|_| planner.repair(now, &chain.plan, &query))
    }
}
