//! Switches that turn single mechanisms off, to show that the tests cover them: a test must fail
//! when the mechanism that it covers is off.
//!
//! `SASSAFRAS_OFF=claims,resume` turns the listed mechanisms off in builds with debug assertions.
//! Other builds ignore it.

use std::sync::OnceLock;

/// A mechanism that can be turned off. Its name in `SASSAFRAS_OFF` is the variant in lower case.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mechanism {
    /// Before a non-idempotent request is sent, its key is claimed on the log.
    Claims,
    /// Before a request counts as not run, peers are asked about it.
    Deny,
    /// The result of an append whose response was lost is determined by reading the log.
    Settle,
    /// An interrupted stream resumes from the next token at another endpoint.
    Resume,
    /// Stream events that belong to another attempt are recognised.
    Attempts,
    /// Request contents that repeatedly crash endpoints are refused.
    Quarantine,
    /// Requests suspected of crashing endpoints don't run on the same endpoint.
    Isolation,
    /// The slots of a service are divided among the entry instances.
    Shares,
    /// Each class has guaranteed slots.
    Floors,
    /// Urgent and protected classes may exceed their quota of slots.
    Over,
    /// Reports from endpoints and peers that an endpoint is leaving are honoured.
    Leavers,
    /// Endpoints that ask for a pause get no requests until its end.
    Pauses,
    /// A shutdown waits for requests in flight.
    Drain,
    /// A publication is accepted only if it was edited from the version in force.
    Base,
    /// A gap in the log makes the version in force uncertain.
    Gaps,
    /// The version in force is appended to the log again before its record expires.
    Carry,
    /// Retries are limited by a budget that grows with the requests received.
    Budget,
    /// Failing and slow endpoints are ejected.
    Eject,
    /// Streams on an endpoint much slower than its peers move to another one.
    Moves,
    /// In a full queue, the workspace with the most queued requests loses its newest one.
    Displace,
    /// An instance that lacks the configuration takes it from peers.
    Peers,
    /// The holder of the duties acts only while its lease is certain to hold.
    Lease,
    /// The number of endpoints of a service with scaling follows its demand.
    Scaling,
    /// Queued requests of a workspace that has had more than its share yield to others.
    Fairness,
    /// `Retry-After` of refused requests follows the queues of the fleet.
    RetryAfter,
    /// The capacity of each endpoint is learned from the times of its responses.
    Capacity,
    /// A stream goes on only at the software version that began it.
    Versions,
    /// Limits on requests that endpoints name are kept.
    Limits,
    /// What callers and endpoints make a relay hold is bounded by its budget.
    Holdings,
}

impl Mechanism {
    fn name(self) -> String {
        format!("{self:?}").to_lowercase()
    }
}

/// True unless the mechanism was turned off by `SASSAFRAS_OFF`.
pub fn on(mechanism: Mechanism) -> bool {
    static OFF: OnceLock<Vec<String>> = OnceLock::new();
    if !cfg!(debug_assertions) {
        return true;
    }
    let off = OFF.get_or_init(|| {
        let text = std::env::var("SASSAFRAS_OFF").unwrap_or_default();
        text.split(',').map(|w| w.trim().to_owned()).collect()
    });
    !off.contains(&mechanism.name())
}
