//! Records state changes of endpoints as audit events.

use super::Entry;
use super::dispatch::Dispatcher;
use crate::fleet::audit::EventKind;
use crate::policy::pool::Notice;

impl Entry {
    /// Records the notices of a dispatcher's pool since the last call.
    pub(super) fn audit_notices(&self, dispatcher: &Dispatcher) {
        let now = self.now();
        let notices = dispatcher.with(now, super::super::policy::pool::Pool::take_notices);
        for notice in notices {
            let (kind, endpoint, detail) = match &notice {
                Notice::Ejected { endpoint, cause } => (
                    EventKind::Ejected,
                    endpoint,
                    format!("out of {} for {cause}", dispatcher.name),
                ),
                Notice::Restored { endpoint } => {
                    (EventKind::Restored, endpoint, format!("back in {}", dispatcher.name))
                }
                Notice::Leaving { endpoint } => (
                    EventKind::Leaving,
                    endpoint,
                    format!("gets no new work of {}", dispatcher.name),
                ),
            };
            self.record_event(kind, endpoint, &detail);
        }
    }
}
