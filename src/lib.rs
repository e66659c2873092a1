//! Sassafrasworks routes language-model traffic under service levels and priorities.
//!
//! `policy` and `fleet` decide and do no I/O; `adapter` talks to the outside; `entry` joins
//! them into the process that serves callers.

#[macro_use]
pub mod macros;

pub mod adapter;
pub mod cmd;
pub mod config;
pub mod entry;
pub mod fleet;
pub mod invariants;
pub mod load;
pub mod logs;
pub mod mechanism;
pub mod policy;
pub mod relay;
pub mod standin;
