//! Client of the platform's instance list, `GET /instances`.

use std::net::SocketAddr;

use super::http::{CallError, Client};

/// Timeout of a request for the list, in milliseconds.
const TIMEOUT: u64 = 1_000;
/// Largest list, in bytes.
const LIST_LIMIT: u64 = 8 << 20;

closed! {
    /// Kind of an instance.
    pub enum Role {
        /// Instance of this router that takes requests from callers.
        Entry,
        /// Endpoint that runs requests for a service.
        Endpoint,
    }

    /// Lifecycle phase of an instance.
    pub enum Phase {
        /// Running and open to new requests.
        Live,
        /// About to stop; takes no new requests.
        Leaving,
    }
}

data! {
    /// One instance in the list.
    pub struct Instance {
        /// Unique name of the instance.
        pub name: String,
        /// Kind of the instance.
        pub role: Role,
        /// Service that an endpoint belongs to; empty for entry instances.
        #[serde(default)]
        pub service: String,
        /// Failure domain the instance runs in.
        pub domain: String,
        /// Address for requests, `ip:port`.
        pub addr: String,
        /// Address for other entry instances; empty for endpoints.
        #[serde(default)]
        pub admin: String,
        /// Lifecycle phase.
        pub phase: Phase,
    }
}

/// Client of the instance list.
#[derive(Debug, Clone)]
pub struct ListClient {
    url: String,
    client: Client,
}

impl ListClient {
    /// A client of the list served at `addr`.
    pub fn new(addr: SocketAddr) -> Self {
        Self { url: format!("http://{addr}/instances"), client: Client::new(TIMEOUT, LIST_LIMIT) }
    }

    /// Fetches the current list.
    pub fn read(&self) -> Result<Vec<Instance>, CallError> {
        self.client.get_json(&self.url)
    }
}
