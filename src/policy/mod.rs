//! Scheduling decisions: queues, placement, retries, budgets and quarantine. Nothing here does I/O:
//! callers pass in the time and the events, and carry out the decisions.

pub mod attempt;
pub mod budget;
pub mod claim;
pub mod decay;
pub mod drain;
pub mod endpoint;
pub mod fair;
pub mod lease;
pub mod length;
pub mod limit;
pub mod origin;
pub mod place;
pub mod pool;
pub mod queue;
pub mod report;
pub mod scale;
pub mod share;
pub mod shutdown;
pub mod sound;
pub mod suspect;
pub mod usage;
pub mod window;

use crate::adapter::clock::Millis;

/// Id of a request, unique on its instance.
pub type JobId = u64;

/// A request that waits for an endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct Job {
    /// Id of the request.
    pub id: JobId,
    /// Name of its class.
    pub class: String,
    /// Name of its workspace.
    pub workspace: String,
    /// Time of its arrival.
    pub arrived: Millis,
    /// Time at which its first token is due.
    pub target: Millis,
    /// Time after which its response is useless to the caller.
    pub deadline: Millis,
    /// Hash of its prompt prefix; 0 for none.
    pub prefix: u64,
    /// True if its content was running on an endpoint that crashed.
    pub suspect: bool,
    /// Endpoints where an earlier attempt failed.
    pub avoid: Vec<String>,
    /// True if an earlier attempt has delivered tokens to the caller.
    pub resumed: bool,
}

closed! {
    /// Why a request was not run.
    pub enum Refusal {
        /// The queue of its class is full.
        QueueFull,
        /// It could not be answered before its deadline.
        TooLate,
        /// The limit of its workspace is reached and the queue of its class is full.
        WorkspaceLimit,
        /// The service has no usable endpoint.
        NoEndpoint,
    }
}

impl Refusal {
    /// Stable code for callers and metrics.
    pub fn code(self) -> &'static str {
        match self {
            Self::QueueFull => "queue_full",
            Self::TooLate => "too_late",
            Self::WorkspaceLimit => "workspace_limit",
            Self::NoEndpoint => "no_endpoint",
        }
    }
}
