//! Sassafrasworks routes language-model traffic under service levels and priorities.
//!
//! [`policy`] and [`fleet`] make decisions and do no I/O. [`adapter`] holds the clients and the
//! server for everything outside the process. [`entry`] combines them into the process that serves
//! callers. [`relay`] is an HTTP/1.1 proxy for routes of any kind. [`wire`] parses HTTP/1.1 messages.

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
pub mod wire;
