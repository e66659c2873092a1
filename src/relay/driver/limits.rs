//! Limits on requests that endpoints name in their responses: what responses and peers say of them.

use super::Driver;
use crate::adapter::clock::Millis;
use crate::policy::limit::{Change, Report, Statement};
use crate::policy::place::Endpoint;
use crate::relay::gossip::Heartbeat;

/// Longest part of a header's value that is logged, in bytes.
const MAX_LOGGED: usize = 64;
/// Time after which the other instances know that requests wait here, in milliseconds.
const WAITING_KNOWN_MS: u64 = 600;

impl Driver {
    /// What the head of a response says of its endpoint's limit, and the text for the log. `None` if it
    /// says nothing of the endpoint that the request was sent to.
    pub(super) fn stated_limit(&self, index: usize) -> Option<(Statement, String)> {
        let link = self.links.get(index)?;
        let head = link.head.as_ref().filter(|h| h.status != 421 && !link.foreign)?;
        let statement = Statement::parse(head.values(self.setup.names.limit));
        let text = head.values(self.setup.names.limit).next().unwrap_or_default();
        let text = text[..text.len().min(MAX_LOGGED)].escape_ascii().to_string();
        Some((statement, text))
    }

    /// Limit of an endpoint in requests a second, if there is one, and the fleet's sends in the last
    /// seconds, as far as known.
    pub(super) fn limit_of(
        &self,
        service: &str,
        endpoint: &str,
        now: Millis,
    ) -> (Option<f64>, Option<u32>) {
        let balancer = self.pools.get(service).map(|p| &p.balancer);
        let limit = balancer.and_then(|b| {
            let key = b.get(endpoint)?.key();
            Some((b.limits.rate(key)?, b.limits.sends(now, key).1))
        });
        limit.unzip()
    }

    /// Applies what a response says of its endpoint's limit.
    pub(super) fn apply_limit(
        &mut self,
        service: &str,
        endpoint: &str,
        statement: Statement,
        text: &str,
    ) {
        let now = self.clock.now();
        let balancer = &mut self.pool(service).balancer;
        let Some(key) = balancer.get(endpoint).map(Endpoint::key) else { return };
        if balancer.limits.note_odd(key, statement) {
            tracing::info!(service, endpoint, text, "relay: odd limit of an endpoint");
        }
        if let Some(change) = balancer.limits.apply(now, key, statement) {
            self.log_limit(now, service, endpoint, change, "response");
            self.update_limits(now);
            self.schedule_heartbeat();
        }
    }

    /// Applies what a peer reports of endpoints with limits.
    pub(super) fn apply_limit_reports(&mut self, now: Millis, heartbeat: &Heartbeat) {
        let mut changes = Vec::new();
        for report in &heartbeat.limits {
            for (service, pool) in &mut self.pools {
                let heard = pool.balancer.hear_limit(now, report);
                changes.extend(heard.map(|(c, id)| (service.clone(), id.to_owned(), c)));
            }
        }
        for (service, endpoint, change) in &changes {
            self.log_limit(now, service, endpoint, *change, "peer");
        }
        if !changes.is_empty() {
            self.update_limits(now);
        }
    }

    fn log_limit(&self, now: Millis, service: &str, endpoint: &str, change: Change, from: &str) {
        let balancer = self.pools.get(service).map(|p| &p.balancer);
        let sends = balancer.and_then(|b| Some(b.limits.sends(now, b.get(endpoint)?.key())));
        let (own, fleet) = sends.unwrap_or_default();
        tracing::info!(
            service,
            endpoint,
            limit = change.after,
            before = change.before,
            from,
            own,
            fleet,
            "relay: limit of an endpoint changed"
        );
    }

    /// Sets what the limits depend on: the instances that share them, and what these have sent.
    pub(super) fn update_limits(&mut self, now: Millis) {
        let limited = self.pools.values().map(|p| p.balancer.limits.count(now)).sum::<usize>();
        self.metrics.limited_endpoints.set(limited as i64);
        if limited == 0 {
            return;
        }
        let waits = self.waiting_since.is_some_and(|at| now >= at + WAITING_KNOWN_MS);
        let fleet = self.peers.limit_fleet(now, waits);
        let reports = self.peers.limits(now);
        for pool in self.pools.values_mut() {
            pool.balancer.limits.set_peers(now, fleet.clone(), &reports);
        }
    }

    /// What this instance tells its peers of endpoints with limits.
    pub(super) fn limit_reports(&self, now: Millis) -> Vec<Report> {
        let balancers = self.pools.values().map(|p| &p.balancer);
        let reports =
            balancers.flat_map(|b| b.endpoints().filter_map(|e| b.limits.report(now, e.key())));
        reports.collect()
    }

    /// Forgets limits of endpoints that are gone.
    pub(super) fn expire_limits(&mut self, now: Millis) {
        self.pools.values_mut().for_each(|p| p.balancer.expire_limits(now));
    }
}
