//! Demand on services with scaling: counted here, exchanged in heartbeats, and published for the
//! holder of the duty.

use indexmap::IndexMap;

use super::{Driver, Pool};
use crate::adapter::clock::Millis;
use crate::policy::scale::{Demand, Scaling, ServiceDemand, ServiceFigures, Stock, Supply};

/// Interval in which the demand is published, in milliseconds.
const PUBLISH_MS: u64 = 1_000;

impl Driver {
    /// Counts a request that has arrived, if its service has scaling.
    pub(super) fn record_arrival(&mut self, now: Millis, service: &str, priority: u8) {
        if self.has_scaling(service) {
            self.pool(service).meter.record_arrival(now, priority);
        }
    }

    /// Counts a request that was sent to an endpoint, if its service has scaling.
    pub(super) fn record_start(&mut self, now: Millis, service: &str, priority: u8, tokens: u32) {
        if self.has_scaling(service) {
            self.pool(service).meter.record_start(now, priority, tokens);
        }
    }

    /// Counts a first event, a plain response or a refusal of a request that arrived at `arrived`.
    pub(super) fn record_first(&mut self, caller: usize, refused: bool) {
        let now = self.clock.now();
        let Some(e) = self.callers.get(caller).and_then(|c| c.exchange.as_ref()) else { return };
        let (service, priority) = (e.service.clone(), e.requirements.priority);
        let target = e.route.target_latency;
        let timely = !refused && (target == 0 || now.saturating_sub(e.arrived) <= target);
        if self.has_scaling(&service) {
            self.pool(&service).meter.record_first(now, priority, timely);
        }
    }

    fn has_scaling(&self, service: &str) -> bool {
        self.table.services.get(service).is_some_and(|s| s.scaling.is_some())
    }

    /// Demand of this instance's callers on the services with scaling.
    pub(super) fn own_demand(&mut self, now: Millis) -> IndexMap<String, ServiceFigures> {
        let scaled = self.table.services.iter().filter(|(_, s)| s.scaling.is_some());
        let names: Vec<String> = scaled.map(|(name, _)| name.clone()).collect();
        if names.is_empty() {
            return IndexMap::new();
        }
        let mut requests: IndexMap<&str, (Vec<u8>, Vec<u8>)> = IndexMap::new();
        for (_, caller) in &self.callers {
            let Some(e) = &caller.exchange else { continue };
            let (running, waiting) = requests.entry(&e.service).or_default();
            if e.placement.is_some() {
                running.push(e.requirements.priority);
            } else if e.queue_key.is_some() {
                waiting.push(e.requirements.priority);
            }
        }
        let mut demand = IndexMap::new();
        for name in names {
            let (running, waiting) = requests.get(name.as_str()).cloned().unwrap_or_default();
            let Some(pool) = self.pools.get_mut(&name) else { continue };
            let figures = pool.meter.figures(now, running.into_iter(), waiting.into_iter());
            demand.insert(name, figures);
        }
        demand
    }

    /// Publishes the demand of the fleet, if it is due; `own` is that of this instance's callers.
    pub(super) fn publish_demand(&mut self, now: Millis, own: &IndexMap<String, ServiceFigures>) {
        if now < self.next_demand {
            return;
        }
        self.next_demand = now + PUBLISH_MS;
        let mut services = IndexMap::new();
        for (name, service) in &self.table.services {
            let (Some(scaling), Some(pool)) = (&service.scaling, self.pools.get(name)) else {
                continue;
            };
            let mut figures = own.get(name).cloned().unwrap_or_default();
            figures.merge(&self.peers.demand(now, name));
            services.insert(name.clone(), service_demand(now, scaling, pool, figures));
        }
        let demand = Demand {
            at: now,
            instances: self.peers.sharers(now) as u32,
            list_age: self.list_age(),
            services,
        };
        self.shared.duties().set_demand(demand);
    }
}

fn service_demand(
    now: Millis,
    scaling: &Scaling,
    pool: &Pool,
    figures: ServiceFigures,
) -> ServiceDemand {
    let profile = pool.balancer.profile;
    let mut stock: IndexMap<(String, Supply), Stock> = IndexMap::new();
    let (mut slots, mut endpoints, mut claimed) = (0.0, 0u32, 0.0);
    for e in pool.balancer.endpoints() {
        let kind = if e.listing.reclaimable { Supply::Reclaimable } else { Supply::Regular };
        let stock = stock.entry((e.listing.domain.clone(), kind)).or_default();
        claimed += f64::from(e.total().memory);
        if e.accepts_work() {
            stock.ready += 1;
            endpoints += 1;
            slots += f64::from(if profile.batch > 0 { profile.batch } else { e.listing.slots });
        } else {
            stock.leaving += 1;
            stock.first_gone = stock.first_gone.into_iter().chain(e.leaves_in(now)).min();
        }
    }
    let engines = profile.batch > 0;
    ServiceDemand {
        scaling: scaling.clone(),
        figures,
        slots: if endpoints > 0 { slots / f64::from(endpoints) } else { f64::from(profile.batch) },
        rate: if engines { pool.balancer.speed().per_second() } else { 0.0 },
        memory: if engines { claimed / f64::from(profile.memory.max(1)) } else { 0.0 },
        stock,
    }
}
