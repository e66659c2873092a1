//! Order in which an instance offers its queued requests to endpoints, and when it passes over the
//! rest of a group.

use indexmap::IndexMap;

use crate::adapter::clock::Millis;
use crate::policy::origin::Software;

/// Maximum failed sends per group in one pass over the queue; the rest of the group is skipped.
const MAX_MISSES: u32 = 4;

/// A queued request, as seen by a pass over the queue.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Queued {
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// True if it can't meet its target any more.
    pub late: bool,
    /// See [`super::Balancer::stretch`].
    pub stretch: u64,
    /// Time of its arrival.
    pub arrived: Millis,
    /// Identifies the request to the caller of [`send_order`].
    pub index: usize,
}

/// Sorts queued requests into the order in which they are sent: by priority, then those that can
/// still meet their target, the least stretched first, then the others by arrival.
///
/// In order of arrival, all would be sent when their target is nearly missed, and those that take
/// long themselves would be the first to miss it.
pub fn send_order(queued: &mut [Queued]) {
    queued.sort();
}

/// Requests with the same service and target gap, and the same software version if they need one.
pub type Group = (String, u64, Option<Software>);

/// Failed sends of one pass by group.
#[derive(Debug, Default)]
pub struct Misses(IndexMap<Group, u32>);

impl Misses {
    /// True if another request of the group may be tried.
    pub fn allow(&self, group: &Group) -> bool {
        self.0.get(group).is_none_or(|n| *n < MAX_MISSES)
    }

    /// Counts a failed send.
    pub fn record(&mut self, group: Group) {
        *self.0.entry(group).or_default() += 1;
    }
}
