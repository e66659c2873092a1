//! Client, demo, open-loop load generator, and simulation for comparing scheduling strategies.

pub mod client;
pub mod demo;
pub mod model;
pub mod open;
pub mod scenario;
pub mod tally;

/// Timeout of a call to the control server of the stand-ins, in milliseconds.
const CONTROL_TIMEOUT: u64 = 2_000;
/// Largest response of the control server, in bytes.
const CONTROL_LIMIT: u64 = 8 << 20;
