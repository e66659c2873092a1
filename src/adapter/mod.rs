//! Adapters to external systems: HTTP client and server, the platform's log and instance list,
//! calls to endpoints, and the clock.

pub mod clock;
pub mod codec;
pub mod endpoint;
pub mod http;
pub mod list;
pub mod log;
pub mod room;
pub mod serve;
pub mod transport;
