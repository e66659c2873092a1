//! Why the response of an endpoint is not passed on.

use crate::wire::MessageError;

/// What is wrong with a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(super) enum Fault {
    /// It is malformed or too large.
    #[error(transparent)]
    Message(#[from] MessageError),
    /// Too many interim responses, or responses to other requests, come before it.
    #[error("too much before the response")]
    Skipped,
    /// It is a success without the endpoint's seal.
    #[error("missing seal")]
    Unsealed,
    /// An event is missing or too large.
    #[error("missing or too large event")]
    Events,
    /// It ends inside an event.
    #[error("incomplete event")]
    PartialEvent,
    /// It is no stream of events, although another endpoint has begun to send one.
    #[error("not an event stream")]
    NoEvents,
    /// Its endpoint has turned out to have another software version than began the stream.
    #[error("another software version")]
    Version,
    /// It may be the copy of an earlier refusal.
    #[error("refusal without an id")]
    Ambiguous,
}
