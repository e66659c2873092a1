//! Clients and experiments: the demo's steps, the load tool, and the model.

pub mod client;
pub mod demo;
pub mod model;
pub mod open;
pub mod scenario;
pub mod tally;
