//! What the fleet shares: configuration and decisions on the log, and the word of peers.

pub mod audit;
pub mod config;
pub mod peer;
pub mod readers;
pub mod replica;
