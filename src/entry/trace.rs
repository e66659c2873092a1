//! What was decided for each recent request, for `explain`.

use std::sync::Mutex;

use indexmap::IndexMap;

use super::lock;
use crate::adapter::clock::Millis;

/// Requests remembered.
const MAX_TRACES: usize = 4_000;

data! {
    /// One attempt at an endpoint.
    pub struct AttemptTrace {
        /// Endpoint.
        pub endpoint: String,
        /// Priority given to the engine.
        pub priority: u8,
        /// Endpoints weighed and their costs; the cheapest was taken.
        #[serde(rename = "weighed")]
        pub costs: Vec<(String, f64)>,
        /// Wait for the grant in milliseconds.
        pub waited: u64,
        /// First token asked for.
        #[serde(rename = "from")]
        pub resume_from: u64,
        /// How it ended.
        pub outcome: String,
    }

    /// One request.
    #[derive(Default)]
    pub struct Trace {
        /// Request id.
        pub id: String,
        /// Instance that served it.
        pub instance: String,
        /// Time it came in.
        #[serde(rename = "at")]
        pub arrived: Millis,
        /// Workspace.
        pub workspace: String,
        /// Class.
        pub class: String,
        /// Service.
        pub service: String,
        /// Version of the configuration.
        pub version: u64,
        /// Exceptions applied.
        pub exceptions: Vec<String>,
        /// What its claim came to; empty without one.
        pub claim: String,
        /// Attempts in order.
        pub attempts: Vec<AttemptTrace>,
        /// How it ended.
        pub outcome: String,
        /// Whole time in milliseconds.
        #[serde(rename = "took")]
        pub duration: u64,
    }
}

/// Recent requests of this instance.
#[derive(Debug, Default)]
pub struct Traces(Mutex<IndexMap<String, Trace>>);

impl Traces {
    /// Keeps a trace; the oldest goes when there are too many.
    pub fn insert(&self, trace: Trace) {
        let mut map = lock(&self.0);
        if map.len() >= MAX_TRACES {
            map.shift_remove_index(0);
        }
        map.insert(trace.id.clone(), trace);
    }

    /// Finds a request.
    pub fn find(&self, id: &str) -> Option<Trace> {
        lock(&self.0).get(id).cloned()
    }
}
