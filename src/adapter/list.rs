//! The platform's instance list: `GET /instances`.

use std::net::SocketAddr;

use super::http::{CallError, Client};

/// Longest wait for the list, in milliseconds.
const TIMEOUT: u64 = 1_000;

closed! {
    /// What an instance is.
    pub enum Role {
        /// An entry instance of ours.
        Entry,
        /// An endpoint of a service.
        Endpoint,
    }

    /// Where an instance is in its life.
    pub enum Phase {
        /// In use.
        Live,
        /// About to end; takes nothing new.
        Leaving,
    }
}

data! {
    /// One row of the list.
    pub struct Instance {
        /// Unique name.
        pub name: String,
        /// What it is.
        pub role: Role,
        /// Service of an endpoint; empty for entry instances.
        #[serde(default)]
        pub service: String,
        /// Failure domain.
        pub domain: String,
        /// Address that callers use, `ip:port`.
        pub addr: String,
        /// Address that peers use; empty for endpoints.
        #[serde(default)]
        pub admin: String,
        /// Where it is in its life.
        pub phase: Phase,
    }
}

/// A client of the instance list.
#[derive(Debug, Clone)]
pub struct ListClient {
    url: String,
    client: Client,
}

impl ListClient {
    /// A client for the list at `addr`.
    pub fn new(addr: SocketAddr) -> Self {
        Self { url: format!("http://{addr}/instances"), client: Client::new(TIMEOUT) }
    }

    /// The list as the platform shows it now.
    pub fn read(&self) -> Result<Vec<Instance>, CallError> {
        self.client.get_json(&self.url)
    }
}
