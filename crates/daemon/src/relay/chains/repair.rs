//! Chains in use that go on over other engines.

use pollendrift_coordination::base::{MonotonicTime, ServerName};
use pollendrift_coordination::routing::{
    EngineRecord, NoRoute, RoutePlan, RoutePlanner, RoutePriority, RouteQuery,
};

use super::{ChainTable, ReservedChain, query_of};
use crate::relay::engine_estimates::pool_name;
use crate::relay::request::RelayRequest;

/// What a chain in use is to do without, and who may take its place.
pub(in crate::relay) struct ChainRepair<'repair> {
    pub(in crate::relay) request: &'repair RelayRequest,
    /// Engines that are lost.
    pub(in crate::relay) lost: &'repair [ServerName],
    /// Events that the caller holds.
    pub(in crate::relay) events_written: u32,
    /// Whether an engine may get new work.
    pub(in crate::relay) may_take: &'repair dyn Fn(&ServerName) -> bool,
}

impl ChainTable {
    /// Takes other engines for those that `chain` lost, in its data centre where there are some. The
    /// former chain still counts as running.
    pub(in crate::relay) fn repair(
        &mut self,
        now: MonotonicTime,
        chain: &ReservedChain,
        repair: &ChainRepair<'_>,
    ) -> Result<ReservedChain, NoRoute> {
        let plan = self.find_repair(now, chain, repair)?;
        self.start(now, plan, chain.plan.model_layers)
    }

    /// Whether there are engines for [`ChainTable::repair`].
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
        let is_good = |engine: &EngineRecord| (repair.may_take)(&engine.announcement.server);
        let model = pool_name(&repair.request.service);
        let query = query_of(repair.request, &model, &is_good);
        let query = RouteQuery {
            excluded: repair.lost,
            prompt_tokens: query.prompt_tokens.saturating_add(repair.events_written),
            priority: RoutePriority::Urgent,
            ..query
        };
        let home = self.centres.iter().find(|centre| {
            let is_home = |engine: &EngineRecord| engine.announcement.data_centre == **centre;
            let first = self.planner.fleet().find(&chain.first);
            first
                .and_then(|key| self.planner.fleet().get(key))
                .is_some_and(is_home)
        });
        let near = RouteQuery {
            within: home,
            ..query
        };
        let planner = &mut self.planner;
        planner
            .repair(now, &chain.plan, &near)
            .or_else(|_| planner.repair(now, &chain.plan, &query))
    }
}
