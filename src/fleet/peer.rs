//! Messages between entry instances. Heartbeats go both ways in each exchange.

use indexmap::IndexMap;
use uuid::Uuid;

use super::config::Carry;
use crate::policy::claim::{BufferedResponse, Key};
use crate::policy::pool::Load;
use crate::policy::suspect::Content;

data! {
    /// State that an instance reports to its peers.
    pub struct Heartbeat {
        /// Name of the instance in the instance list.
        pub name: String,
        /// Boot id of the instance: a new one for each start of the process.
        pub boot: Uuid,
        /// Sequence number of the heartbeat within this incarnation.
        pub seq: u64,
        /// True once the instance is shutting down.
        pub leaving: bool,
        /// Version of the configuration in force on the instance.
        pub version: u64,
        /// Load by service.
        pub loads: IndexMap<String, Load>,
        /// Endpoints known to be shutting down: service, endpoint, boot id of the endpoint.
        pub leavers: Vec<(String, String, String)>,
        /// Request contents suspected of crashing endpoints, each with the crashes counted
        /// against it.
        pub suspects: Vec<(Content, Vec<String>)>,
    }

    /// Asks an instance, the claimant or another, what it knows about an idempotency key.
    pub struct KeyQuery {
        /// The key.
        pub key: Key,
        /// How long to wait for the request to end, in milliseconds.
        pub wait: u64,
    }

    /// What an instance knows about an idempotency key.
    pub enum KeyStatus {
        /// No request with this key was accepted here, or one was accepted and not sent, but may
        /// have run on another instance.
        Unknown,
        /// The request is running or about to run.
        Running,
        /// The request is done, with this response.
        Done(BufferedResponse),
        /// The request was sent and its outcome is unknown.
        Lost,
        /// The request was accepted but not sent, and never will be under that claim.
        NotSent,
    }

    /// Response to a request for the configuration in force.
    pub struct ConfigResponse {
        /// The version in force; `None` while the instance knows none.
        pub carry: Option<Carry>,
    }
}
