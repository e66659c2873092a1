//! Decisions: time and events in, what to do next out. Nothing here does I/O.

pub mod attempt;
pub mod budget;
pub mod claim;
pub mod endpoint;
pub mod length;
pub mod place;
pub mod pool;
pub mod queue;
pub mod share;
pub mod suspect;
pub mod window;

use crate::adapter::clock::Millis;

/// Number of a request on its instance.
pub type JobId = u64;

/// A request that waits for an endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct Job {
    /// Its number.
    pub id: JobId,
    /// Its class.
    pub class: String,
    /// Its workspace.
    pub workspace: String,
    /// Time it came in.
    pub arrived: Millis,
    /// Time at which its first token is due.
    pub target: Millis,
    /// Time after which its answer is of no use.
    pub deadline: Millis,
    /// Hash of the start of its prompt; 0 for none.
    pub prefix: u64,
    /// True when its content ran on an endpoint that crashed.
    pub suspect: bool,
    /// Endpoints that failed it before.
    pub avoid: Vec<String>,
    /// True when an earlier attempt has delivered tokens to the caller.
    pub resumed: bool,
}

closed! {
    /// Why a request was not run.
    pub enum Refusal {
        /// The queue of its class is full.
        QueueFull,
        /// It could not be answered before its deadline.
        TooLate,
        /// Its workspace's limit is reached and its queue is full.
        WorkspaceLimit,
        /// No endpoint of the service is left.
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
