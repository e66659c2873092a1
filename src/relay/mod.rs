//! The relay: HTTP/1.1 between callers and endpoints, for routes of any kind.
//!
//! One thread runs a readiness loop over all connections. Connections are small state machines;
//! [`wire`] parses, [`crate::policy::place`] chooses endpoints, [`driver`] joins them.

pub mod caller;
pub mod driver;
mod exchange;
pub mod follow;
pub mod gossip;
pub mod link;
pub mod names;
pub mod queue;
pub mod serve;
pub mod sse;
pub mod state;
pub mod stats;
pub mod table;
mod timers;
pub mod wire;
