//! Events for the audit trail, kept on the log's `fleet` stream.

use crate::adapter::clock::Millis;
use crate::policy::suspect::Content;

/// Stream of the log that holds these records.
pub const STREAM: &str = "fleet";

data! {
    /// A decision that the fleet or an operator took.
    pub struct Event {
        /// When, by the clock of the instance.
        pub at: Millis,
        /// Instance or operator.
        pub who: String,
        /// What was done.
        pub kind: EventKind,
        /// Endpoint, content or stream concerned.
        pub subject: String,
        /// One sentence.
        pub detail: String,
    }

    /// One record of the stream.
    pub enum Record {
        /// Something to be remembered.
        Event(Event),
        /// A content is refused until the time given.
        Quarantine { content: Content, until: Millis, event: Event },
        /// A content may run again.
        Release { content: Content, event: Event },
    }
}

closed! {
    /// Kinds of events.
    pub enum EventKind {
        /// An endpoint was ejected.
        Ejected,
        /// An ejected endpoint came back.
        Restored,
        /// An endpoint is leaving.
        Leaving,
        /// A content was quarantined.
        Quarantined,
        /// A content was released.
        Released,
        /// The log can't be reached; claims are refused.
        LogLost,
        /// The log can be reached again.
        LogBack,
        /// Peers are silent; equal parts are in force.
        PeersLost,
        /// All peers are heard again.
        PeersBack,
        /// An instance began to serve.
        Started,
        /// An instance ended gracefully.
        Stopped,
        /// A configuration came into force on an instance.
        ConfigInForce,
    }
}

impl Record {
    /// The event that the record carries.
    pub fn event(&self) -> &Event {
        match self {
            Self::Event(event) | Self::Quarantine { event, .. } | Self::Release { event, .. } => {
                event
            }
        }
    }
}
