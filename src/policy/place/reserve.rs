//! Room at endpoints for requests that will be sent there once their record is written.

use super::{Balancer, Endpoint, Load, Requirements};
use crate::adapter::clock::Millis;

impl Balancer {
    /// Load that a request puts on an endpoint.
    pub(super) fn load_of(&self, now: Millis, id: &str, needs: &Requirements) -> Load {
        let uncached = self.get(id).map(|e| e.uncached(now, needs)).unwrap_or_default();
        Load {
            running: 1,
            prefill: uncached.total(),
            memory: needs.prompt + needs.output / 2,
            tight: u32::from(self.profile.is_tight(needs.gap)),
        }
    }

    /// Reserves room at an endpoint for a request, so that those which come meanwhile are placed as if it
    /// ran there. Returns the load.
    pub fn reserve_for(&mut self, now: Millis, id: &str, needs: &Requirements) -> Load {
        let load = self.load_of(now, id, needs);
        self.reserve(id, load);
        load
    }

    /// Reserves room for a load at an endpoint.
    pub fn reserve(&mut self, id: &str, load: Load) {
        if let Some(e) = self.get_mut(id) {
            e.reserve(load);
        }
    }

    /// Gives back room that was reserved for a load at an endpoint.
    pub fn unreserve(&mut self, id: &str, load: Load) {
        if let Some(e) = self.get_mut(id) {
            e.unreserve(load);
        }
    }

    /// Gives back all reserved room.
    pub fn clear_reserved(&mut self) {
        self.endpoints.values_mut().for_each(Endpoint::clear_reserved);
    }
}
