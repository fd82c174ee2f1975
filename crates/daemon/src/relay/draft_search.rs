//! Searches a chain of engines for a draft, within the limits on its sends.

use pollendrift_coordination::base::{MonotonicTime, ServerName};

use super::backpressure::HeldBack;
use super::chains::ChainQuery;
use super::drafts::DraftRun;
use super::guard::ChainGuard;

/// Times that this host's share of an engine's free memory may be filled between two reports: most
/// hosts choose other engines.
const SHARE_FACTOR: f64 = 2.0;

/// Result of a search for a chain.
pub(super) struct ChainSearch {
    pub(super) chain: Option<ChainGuard>,
    /// First engines that were passed over because this host's share of their limit is used up.
    pub(super) rate_limited: Vec<ServerName>,
}

impl DraftRun {
    /// Reserves a chain and, if the draft was sent before, spends one retry of the budget.
    ///
    /// Only a send spends a retry, a search for capacity doesn't: when each search spent one, a
    /// single draft used up the host's budget within half a second, and running streams that then
    /// needed a retry were aborted.
    pub(super) fn reserve_chain_in_budget(
        &self,
        now: MonotonicTime,
        is_resume: bool,
    ) -> ChainSearch {
        let service = &self.request.service.name;
        let is_repeat = self.sends + self.declined > 0 || self.has_arrived;
        if is_repeat && !self.context.has_retry_budget(now, service) {
            return ChainSearch {
                chain: None,
                rate_limited: Vec::new(),
            };
        }
        let mut search = self.reserve_chain(now, is_resume, &[]);
        search.chain = search.chain.and_then(|chain| {
            let may_send = self.context.take_rate(now, &chain.chain.first)
                && (!is_repeat || self.context.spend_retry(now, service));
            if !may_send {
                chain.record_failed(None);
                return None;
            }
            Some(chain)
        });
        search
    }

    /// Whether the draft waits for a chain, after a search without one that passed over
    /// `rate_limited` engines.
    ///
    /// If all engines that could receive the draft are held back until after `wait_until`, it is
    /// refused at once.
    pub(super) fn may_wait(
        &mut self,
        now: MonotonicTime,
        rate_limited: &[ServerName],
        wait_until: MonotonicTime,
    ) -> bool {
        let has_joined = self.rate_queue.has_joined();
        self.held_back = self.find_hold(now);
        self.rate_queue.join(now, rate_limited);
        match &self.held_back {
            // The wait counts drafts that joined later, so it only decides on the first search.
            Some(HeldBack::Rate(_)) if has_joined => true,
            Some(held_back) => now.after(held_back.wait()) <= wait_until,
            None => true,
        }
    }

    /// Shortest wait for an engine that could receive the draft; `None` if one is not held back.
    fn find_hold(&self, now: MonotonicTime) -> Option<HeldBack> {
        if !self.context.may_hold_back() {
            return None;
        }
        let workers = self.context.fleet.workers(now);
        let suspects = self.context.health().suspects(now);
        let engines = workers.iter().filter(|worker| {
            worker.holds_first_layer()
                && worker.offer.service == self.request.service.name
                && !suspects.contains(&worker.server)
        });
        self.context
            .shortest_hold(now, engines.map(|worker| &worker.server))
    }

    /// Whether the draft can continue on another chain without `suspects`.
    ///
    /// If it can't, the draft stays on the silent chain: its events may still arrive, and without it
    /// the caller's answer is certainly incomplete.
    pub(super) fn has_alternative(&self, suspects: &[ServerName]) -> bool {
        let now = self.context.clock.now();
        if self.is_final() || self.declined + 1 >= self.max_declined() || self.is_held() {
            return false;
        }
        if self.context.is_cut_off_from(&self.request) {
            return self.may_forward(now);
        }
        let service = &self.request.service.name;
        if !self.context.has_retry_budget(now, service) {
            return false;
        }
        let Some(chain) = self.reserve_chain(now, true, suspects).chain else {
            return false;
        };
        chain.record_failed(None);
        true
    }

    /// Reserves the best chain whose first engine may get a request by its limit.
    fn reserve_chain(
        &self,
        now: MonotonicTime,
        is_resume: bool,
        suspects: &[ServerName],
    ) -> ChainSearch {
        let excluded = self.excluded.iter().filter(|engine| engine.until > now);
        let excluded = excluded.map(|engine| &engine.server);
        let exhausted = self.exhausted_first_engines(now);
        let mut excluded: Vec<ServerName> = excluded
            .chain(suspects)
            .chain(&exhausted)
            .cloned()
            .collect();
        let mut rate_limited = self.rate_queue.used_up_servers(now);
        excluded.extend(rate_limited.iter().cloned());
        loop {
            let chain = self.reserve_without(now, is_resume, &excluded);
            let Some(chain) = chain else {
                return ChainSearch {
                    chain: None,
                    rate_limited,
                };
            };
            let first = chain.chain.first.clone();
            if self.context.has_rate(now, &first) {
                return ChainSearch {
                    chain: Some(chain),
                    rate_limited,
                };
            }
            chain.record_failed(None);
            excluded.push(first.clone());
            rate_limited.push(first);
        }
    }

    fn reserve_without(
        &self,
        now: MonotonicTime,
        is_resume: bool,
        excluded: &[ServerName],
    ) -> Option<ChainGuard> {
        let context = &self.context;
        let has_back_offs = !context.fleet.back_offs().is_empty();
        let may_take_work = |server: &ServerName| {
            context.fleet.worker_may_take_work(now, server)
                && !(has_back_offs && context.has_back_off(now, server))
        };
        let health = self.context.health();
        let is_healthy = |server: &ServerName| !health.is_suspected(now, server);
        let (service, parts) = (&self.request.service.name, &self.request.shared_parts);
        let wanted = ChainQuery {
            request: &self.request,
            excluded,
            is_resume,
            share: self.demand_share(now, is_resume),
            unproven: self.context.quarantine.rare_unproven_part(service, parts),
        };
        let reserved = self
            .context
            .chains()
            .reserve(now, &wanted, may_take_work, is_healthy);
        let is_usable = |server: &ServerName| {
            let worker = context.fleet.worker(server);
            let id = context.loss_id(server);
            worker.is_some_and(|worker| worker.offer.service == *service)
                && id.is_some_and(|id| !context.poison.is_lost(&id))
                && may_take_work(server)
                && is_healthy(server)
        };
        let is_spared = reserved.as_ref().is_ok_and(|chain| {
            self.must_spare_sole_holders(now) && context.chains().has_sole_holder(chain, is_usable)
        });
        drop(health);
        match reserved {
            Ok(chain) if is_spared => {
                drop(ChainGuard::new(&self.context, chain));
                None
            }
            Ok(chain) => Some(ChainGuard::new(&self.context, chain)),
            Err(error) => {
                log::debug!(request = self.request.attempt.as_str(), reasons:% = error; "no chain available for the draft");
                None
            }
        }
    }

    /// Whether engines that alone hold some layers must not get the draft, because an engine has ended
    /// under it. If another ends, no chain is left for anybody.
    fn must_spare_sole_holders(&self, now: MonotonicTime) -> bool {
        self.spare_until.is_some_and(|until| now < until) && self.gate.has_ends()
    }

    /// Share of this host in the demand for the service, which limits the engines' memory that it may
    /// fill. A stream whose caller has received a part of the answer may use all of it.
    fn demand_share(&self, now: MonotonicTime, is_resume: bool) -> Option<f64> {
        if is_resume || self.request.priority.is_none() {
            return None;
        }
        let service = &self.request.service.name;
        Some(self.context.fleet.demand().share(now, service) * SHARE_FACTOR)
    }

    /// Engines of the first layer that a chain of this draft must not start with any more.
    fn exhausted_first_engines(&self, now: MonotonicTime) -> Vec<ServerName> {
        let max_attempts = self.request.max_attempts();
        if !self.tried_servers.has_reached(max_attempts) {
            return Vec::new();
        }
        let workers = self.context.fleet.workers(now);
        let health = self.context.health();
        let is_known = |server: &ServerName| workers.iter().any(|worker| worker.server == *server);
        let is_unavailable =
            |server: &ServerName| health.is_suspected(now, server) || !is_known(server);
        let Some(allowed) = self.tried_servers.allowed(max_attempts, is_unavailable) else {
            return Vec::new();
        };
        let first = workers.iter().filter(|worker| worker.holds_first_layer());
        let exhausted = first.filter(|worker| !allowed.contains(&&worker.server));
        exhausted.map(|worker| worker.server.clone()).collect()
    }
}
