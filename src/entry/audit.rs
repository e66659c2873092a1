//! Turns changes of endpoints into audit events and metrics.

use super::Entry;
use super::hall::Hall;
use crate::fleet::audit::EventKind;
use crate::policy::pool::Notice;

impl Entry {
    /// Reports what has changed in a hall since the last call.
    pub(super) fn report(&self, hall: &Hall) {
        let now = self.now();
        let notices = hall.with(now, super::super::policy::pool::Pool::notices);
        for notice in notices {
            let (kind, endpoint, detail) = match &notice {
                Notice::Ejected { endpoint, cause } => {
                    (EventKind::Ejected, endpoint, format!("out of {} for {cause}", hall.name))
                }
                Notice::Restored { endpoint } => {
                    (EventKind::Restored, endpoint, format!("back in {}", hall.name))
                }
                Notice::Leaving { endpoint } => {
                    (EventKind::Leaving, endpoint, format!("gets no new work of {}", hall.name))
                }
            };
            self.event(kind, endpoint, &detail);
        }
    }
}
