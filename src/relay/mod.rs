//! The relay: an HTTP/1.1 proxy between callers and endpoints, for routes of any kind.
//!
//! One thread runs an event loop over all connections, which are small state machines.
//! [`crate::wire`] parses messages, [`crate::policy::place`] chooses endpoints, and [`driver`]
//! connects the two.

pub mod budget;
pub mod caller;
pub mod driver;
pub mod duty;
mod exchange;
mod fault;
pub mod follow;
pub mod follower;
pub mod gossip;
pub mod groups;
pub mod ledger;
pub mod link;
pub mod names;
mod output;
pub mod queue;
pub mod read;
pub mod scaling;
pub mod serve;
mod sockets;
pub mod sse;
pub mod state;
pub mod stats;
pub mod table;
mod timers;
