//! Switches for proofs: a test must fail once the mechanism that it proves is off.
//!
//! `SASSAFRAS_OFF=claims,resume` turns mechanisms off in builds with debug assertions. Other
//! builds ignore it.

use std::sync::OnceLock;

/// A mechanism that a proof can do without.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mechanism {
    /// A claim on the log before a non-idempotent request is sent.
    Claims,
    /// Peers are asked before a request counts as not run.
    Deny,
    /// An unsettled append is settled by reading the log.
    Settle,
    /// A stream goes on from the next token at another endpoint.
    Resume,
    /// Events of other attempts are recognised.
    Attempts,
    /// Contents that crash endpoints are refused.
    Quarantine,
    /// Suspects don't share an endpoint.
    Isolation,
    /// Slots are divided among instances.
    Shares,
    /// Classes have guaranteed slots.
    Floors,
    /// Urgent and protected classes may go past their part.
    Over,
    /// Endpoints' and peers' word on who is leaving counts.
    Leavers,
    /// A shutdown waits for requests in progress.
    Drain,
    /// A publication must name the version in force.
    Base,
    /// A gap in the log makes the version in force uncertain.
    Gaps,
    /// The version in force is repeated before its record expires.
    Carry,
    /// Retries are paid for by served requests.
    Budget,
    /// Failing and slow endpoints are ejected.
    Eject,
    /// Streams on a straggler go on elsewhere.
    Moves,
    /// A burst displaces its own requests first.
    Displace,
    /// The configuration is taken from peers.
    Peers,
}

impl Mechanism {
    fn name(self) -> String {
        format!("{self:?}").to_lowercase()
    }
}

/// True while a mechanism is in use.
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
