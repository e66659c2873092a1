//! Audit events, stored on the `fleet` stream of the log.

use crate::adapter::clock::Millis;
use crate::policy::suspect::Content;

/// Name of the log stream that holds these records.
pub const STREAM: &str = "fleet";

data! {
    /// A decision of the fleet or of an operator.
    pub struct Event {
        /// Time of the event, by the clock of the instance that recorded it.
        pub at: Millis,
        /// Instance or operator that acted.
        pub who: String,
        /// What happened.
        pub kind: EventKind,
        /// Name of what the event concerns: an endpoint, the content of a request, an
        /// instance, `log` or `peers`.
        pub subject: String,
        /// Explanation in one sentence.
        pub detail: String,
    }

    /// One record of the stream.
    pub enum Record {
        /// An event that changes no other state.
        Event(Event),
        /// Requests with this content are refused until the time given.
        Quarantine { content: Content, until: Millis, event: Event },
        /// Requests with this content may run again.
        Release { content: Content, event: Event },
    }
}

closed! {
    /// Kinds of events.
    pub enum EventKind {
        /// An endpoint was ejected.
        Ejected,
        /// An ejected endpoint is used again.
        Restored,
        /// An endpoint is shutting down and gets no new requests.
        Leaving,
        /// The content of a request was quarantined.
        Quarantined,
        /// The content of a request was released from quarantine.
        Released,
        /// The log can't be reached; claims are refused.
        LogLost,
        /// The log can be reached again.
        LogBack,
        /// Heartbeats of some peers are overdue; each instance keeps an equal share of the slots.
        PeersLost,
        /// All peers send heartbeats again.
        PeersBack,
        /// An instance started to serve.
        Started,
        /// An instance shut down gracefully.
        Stopped,
        /// A configuration came into force on an instance.
        ConfigInForce,
    }
}

impl Record {
    /// The event that the record contains.
    pub fn event(&self) -> &Event {
        match self {
            Self::Event(event) | Self::Quarantine { event, .. } | Self::Release { event, .. } => {
                event
            }
        }
    }
}
