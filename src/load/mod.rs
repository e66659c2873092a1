//! Clients: the demo's steps and the load tool.

pub mod client;
pub mod demo;
