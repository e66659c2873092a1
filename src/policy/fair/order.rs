//! Fair order of queued requests: by priority, then by what their workspace has had beyond its
//! share.

use indexmap::IndexMap;

use super::account::{Account, Stance};
use crate::adapter::clock::Millis;
use crate::mechanism::{self, Mechanism};
use crate::policy::place::Queued;

/// A queued request and whose it is.
#[derive(Debug, Clone)]
pub struct Entry {
    /// Its rank without regard to workspaces.
    pub queued: Queued,
    /// Its service.
    pub service: String,
    /// Its workspace; `None` if it has none.
    pub workspace: Option<u32>,
    /// Its expected work, in tokens.
    pub work: u32,
    /// Set by [`send_order`]: true if it goes last for the burst of its workspace, its priority, and the
    /// excess of its workspace.
    pub rank: (bool, u8, u32),
}

/// Sorts queued requests into the order in which they are sent: those of bursting workspaces last while
/// others wait, then by priority, then, while any workspace is in a burst, by how far their workspace
/// exceeds its share, then as [`crate::policy::place::send_order`] does. Queued requests of a workspace
/// that go before one count as sent.
pub fn send_order<'a>(
    now: Millis,
    entries: &mut [Entry],
    account: impl Fn(&str) -> Option<&'a Account>,
) {
    entries.sort_by(|a, b| a.queued.cmp(&b.queued));
    entries.iter_mut().for_each(|e| e.rank = (false, e.queued.priority, 0));
    if !mechanism::on(Mechanism::Fairness) {
        return;
    }
    let mut shares: IndexMap<String, f64> = IndexMap::new();
    let mut works: IndexMap<(String, u32), f64> = IndexMap::new();
    for entry in entries.iter_mut() {
        let priority = entry.queued.priority;
        let (mut is_last, mut excess) = (false, 0);
        if let (Some(workspace), Some(account)) = (entry.workspace, account(&entry.service)) {
            let share = *shares.entry(entry.service.clone()).or_insert_with(|| account.share(now));
            let work = works
                .entry((entry.service.clone(), workspace))
                .or_insert_with(|| account.work(now, workspace));
            is_last = account.stance(now, workspace, priority) == Stance::Last;
            excess = if account.has_burst() { Account::excess(*work, share) } else { 0 };
            *work += f64::from(entry.work);
        }
        entry.rank = (is_last, priority, excess);
    }
    entries.sort_by_key(|e| e.rank);
}
