//! Orders for endpoints as the holder of the duty sends them: with a log line for each, and metrics.

use std::sync::Arc;

use super::stats::{Metrics, OrderLabels, OutcomeLabels};
use crate::adapter::clock::Millis;
use crate::policy::scale::{Demand, Order, Outcome, Planned, Scaler};

/// A [`Scaler`] whose decisions operators can follow.
#[derive(Debug)]
pub struct Planner {
    scaler: Scaler,
    metrics: Arc<Metrics>,
}

impl Planner {
    /// Continues from the newest orders of earlier holders.
    pub fn new(recorded: Vec<Order>, metrics: Arc<Metrics>) -> Self {
        tracing::info!(orders = recorded.len(), "scaling: continues from recorded orders");
        Self { scaler: Scaler::new(recorded), metrics }
    }

    /// The orders to be sent now, see [`Scaler::plan`].
    pub fn plan(&mut self, now: Millis, demand: &Demand) -> Vec<Order> {
        let orders = self.scaler.plan(now, demand);
        self.scaler.planned().iter().for_each(log_order);
        orders
    }

    /// Records the outcome of an order, see [`Scaler::answered`].
    pub fn answered(&mut self, now: Millis, order: &Order, outcome: Outcome) {
        let Order { service, domain, kind, desired } = order.clone();
        let (kind, outcome_name) = (kind.name(), outcome.name());
        if outcome == Outcome::Accepted {
            let labels = OrderLabels { service: service.clone(), domain, kind };
            self.metrics.ordered.get_or_create(&labels).set(desired.into());
        } else {
            tracing::warn!(service, domain, kind, desired, "scaling: order {outcome_name}");
        }
        let labels = OutcomeLabels { service, outcome: outcome_name };
        self.metrics.orders.get_or_create(&labels).inc();
        self.scaler.answered(now, order, outcome);
    }
}

fn log_order(planned: &Planned) {
    let Planned { order, from, reason, inputs } = planned;
    tracing::info!(
        service = order.service,
        domain = order.domain,
        kind = order.kind.name(),
        from,
        to = order.desired,
        why = reason.name(),
        need = inputs.now,
        wanted = inputs.wanted,
        held = inputs.held,
        base = inputs.base,
        fit = inputs.fit,
        serving = inputs.serving,
        age = inputs.age,
        instances = inputs.instances,
        "scaling: order"
    );
}
