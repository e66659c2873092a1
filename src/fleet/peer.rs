//! Messages between entry instances, exchanged in both directions at each contact.

use indexmap::IndexMap;
use uuid::Uuid;

use super::config::Carry;
use crate::policy::claim::{Answer, Key};
use crate::policy::pool::Load;
use crate::policy::suspect::Content;

data! {
    /// What an instance says of itself.
    pub struct Heartbeat {
        /// Its name in the instance list.
        pub name: String,
        /// Its present life.
        pub boot: Uuid,
        /// Counts its heartbeats.
        pub seq: u64,
        /// True once it is shutting down.
        pub leaving: bool,
        /// Version of the configuration it applies.
        pub version: u64,
        /// Load by service.
        pub loads: IndexMap<String, Load>,
        /// Endpoints it knows to be leaving: service, endpoint, life.
        pub leavers: Vec<(String, String, String)>,
        /// Crashes that it counts against contents.
        pub suspects: Vec<(Content, Vec<String>)>,
    }

    /// Asks the claimant, or any instance, for what it knows of a key.
    pub struct KeyQuery {
        /// The key.
        pub key: Key,
        /// How long to wait for the answer, in milliseconds.
        pub wait: u64,
    }

    /// What an instance knows of a key.
    pub enum KeyStatus {
        /// It has never taken a request with this key.
        Unknown,
        /// It runs the request, or is about to.
        Running,
        /// It has the answer.
        Done(Answer),
        /// It sent the request and knows no outcome.
        Lost,
        /// It took the request, did not send it and never will under that claim.
        NotSent,
    }

    /// Answer to a call for the configuration in force.
    pub struct ConfigResponse {
        /// The version; `None` while unknown.
        pub carry: Option<Carry>,
    }
}
