//! Fair shares of a service between workspaces: who has had how much of it recently, in the whole
//! fleet, and whose requests go first while requests wait.

mod account;
mod order;

pub use account::{Account, Stance, Usage, merge, truncate};
pub use order::{Entry, send_order};

use xxhash_rust::xxh3::xxh3_64;

use super::place::Placement;

/// Minimum work of a request, in tokens: it occupies a place in the batch whatever its size.
const MIN_WORK: u32 = 100;

/// Cost of an output token, in prompt tokens: it holds a place in the batch for a whole step.
const OUTPUT_COST: u32 = 20;

/// Identifies a workspace in accounts and heartbeats: a hash of its name. Two workspaces with the
/// same hash share one account.
pub fn workspace_id(name: &str) -> u32 {
    xxh3_64(name.as_bytes()) as u32
}

/// Work of a request, in prompt tokens: those that the endpoint computes, and the output.
pub fn work(placement: &Placement, output: u32) -> u32 {
    expected_work(placement.uncached.total(), output)
}

/// The same for a number of uncached prompt tokens.
pub fn expected_work(uncached: u32, output: u32) -> u32 {
    uncached.saturating_add(output.saturating_mul(OUTPUT_COST)).max(MIN_WORK)
}
