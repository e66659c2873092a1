//! Which instances may hold the lease.

use std::net::SocketAddr;

use indexmap::IndexSet;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Number of candidates: one holds the lease, the others follow the log.
pub const MAX_CANDIDATES: usize = 3;

/// An instance that may hold the lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Candidate {
    /// Name of the instance.
    pub name: String,
    /// Address on which it receives datagrams.
    pub addr: SocketAddr,
    /// Time at which it started, by its own clock.
    pub started: u64,
    /// Failure domain.
    pub domain: String,
    /// Memory of the instance, in MB.
    pub memory: u32,
    /// The platform rejects it, or it is slow: others are preferred.
    pub impaired: bool,
    /// It holds the lease.
    pub holds: bool,
}

impl Candidate {
    /// Order of preference, the lowest first. The holder is always a candidate, since the others
    /// report to the candidates.
    fn order(&self) -> (bool, bool, std::cmp::Reverse<u32>, u64) {
        let memory = std::cmp::Reverse(self.memory);
        (!self.holds, self.impaired, memory, xxh3_64(self.name.as_bytes()))
    }
}

/// The preferred candidates of a set, in order; those in failure domains that are not yet covered come
/// first.
pub fn choose(mut all: Vec<Candidate>) -> Vec<Candidate> {
    all.sort_by_key(Candidate::order);
    all.dedup_by(|a, b| a.name == b.name);
    let mut domains = IndexSet::new();
    let (mut chosen, mut rest) = (Vec::new(), Vec::new());
    for candidate in all {
        let first = domains.insert(candidate.domain.clone());
        if candidate.holds || (first && !candidate.impaired) {
            chosen.push(candidate);
        } else {
            rest.push(candidate);
        }
    }
    chosen.extend(rest);
    chosen.truncate(MAX_CANDIDATES);
    chosen
}
