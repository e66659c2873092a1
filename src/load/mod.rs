//! Client, demo, open-loop load generator, and simulation for comparing scheduling strategies.

pub mod client;
pub mod demo;
pub mod model;
pub mod open;
pub mod scenario;
pub mod tally;
