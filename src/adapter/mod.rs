//! The outside: HTTP in both directions, the log, the instance list, endpoints and the clock.

pub mod clock;
pub mod codec;
pub mod endpoint;
pub mod http;
pub mod list;
pub mod log;
pub mod serve;
