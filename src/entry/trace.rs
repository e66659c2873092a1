//! Traces of recent requests: the decisions taken for each, shown by `explain`.

use std::sync::Mutex;

use indexmap::IndexMap;

use super::lock;
use crate::adapter::clock::Millis;

/// Maximum number of traces kept.
const MAX_TRACES: usize = 4_000;

data! {
    /// One attempt of a request.
    pub struct AttemptTrace {
        /// Name of the endpoint.
        pub endpoint: String,
        /// Priority passed to the engine; lower runs first.
        pub priority: u8,
        /// Endpoints considered, with their costs; the cheapest was chosen.
        #[serde(rename = "weighed")]
        pub costs: Vec<(String, f64)>,
        /// Time that it waited for the grant, in milliseconds.
        pub waited: u64,
        /// Index of the first token requested; above 0 if it resumed a stream.
        #[serde(rename = "from")]
        pub resume_from: u64,
        /// How it ended.
        pub outcome: String,
    }

    /// The decisions taken for one request, and its outcome.
    #[derive(Default)]
    pub struct Trace {
        /// Id of the request.
        pub id: String,
        /// Instance that served it.
        pub instance: String,
        /// Time of its arrival.
        #[serde(rename = "at")]
        pub arrived: Millis,
        /// Name of its workspace.
        pub workspace: String,
        /// Name of its class.
        pub class: String,
        /// Name of the service that it is for.
        pub service: String,
        /// Version of the configuration in force at its arrival.
        pub version: u64,
        /// Names of the exceptions applied.
        pub exceptions: Vec<String>,
        /// How its idempotency key was resolved; empty if it had none.
        pub claim: String,
        /// Attempts in order of time.
        pub attempts: Vec<AttemptTrace>,
        /// How it ended.
        pub outcome: String,
        /// Time from arrival to end, in milliseconds.
        #[serde(rename = "took")]
        pub duration: u64,
    }
}

/// Traces of the recent requests of this instance, by request id.
#[derive(Debug, Default)]
pub struct Traces(Mutex<IndexMap<String, Trace>>);

impl Traces {
    /// Stores a trace, and drops the oldest one if there are `MAX_TRACES` already.
    pub fn insert(&self, trace: Trace) {
        let mut map = lock(&self.0);
        if map.len() >= MAX_TRACES {
            map.shift_remove_index(0);
        }
        map.insert(trace.id.clone(), trace);
    }

    /// The trace of a request, if it is still kept.
    pub fn find(&self, id: &str) -> Option<Trace> {
        lock(&self.0).get(id).cloned()
    }
}
