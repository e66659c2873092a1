//! Limits on requests that endpoints name in their responses.

use super::Driver;
use crate::adapter::clock::Millis;
use crate::policy::limit::Statement;

/// Longest part of a header's value that is logged, in bytes.
const MAX_LOGGED: usize = 64;

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

    /// Limit of an endpoint in requests a second, if there is one, and this instance's sends in the
    /// last seconds.
    pub(super) fn limit_of(
        &self,
        service: &str,
        endpoint: &str,
        now: Millis,
    ) -> (Option<f64>, Option<u32>) {
        let balancer = self.pools.get(service).map(|p| &p.balancer);
        let limit = balancer.and_then(|b| {
            let key = b.get(endpoint)?.key();
            Some((b.limits.rate(key)?, b.limits.own_sends(now, key)))
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
        let Some(key) = balancer.get(endpoint).map(|e| e.key()) else { return };
        let limits = &mut balancer.limits;
        if limits.note_odd(key, statement) {
            tracing::info!(service, endpoint, text, "relay: odd limit of an endpoint");
        }
        if let Some(change) = limits.apply(key, statement) {
            let sends = limits.own_sends(now, key);
            tracing::info!(
                service,
                endpoint,
                limit = change.after,
                before = change.before,
                sends,
                "relay: limit of an endpoint changed"
            );
        }
        let limited = self.pools.values().map(|p| p.balancer.limits.count()).sum::<usize>();
        self.metrics.limited_endpoints.set(limited as i64);
    }
}
