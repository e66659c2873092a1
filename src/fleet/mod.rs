//! State that the instances of the fleet share: configuration and audit events on the log,
//! messages between peers, and replicas of the platform's topics.

pub mod audit;
pub mod config;
pub mod peer;
pub mod position;
pub mod readers;
pub mod replica;
