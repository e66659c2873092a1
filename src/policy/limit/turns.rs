//! Turns of instances at an endpoint: what is sent in one of them is known to all before the next.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::adapter::clock::Millis;

/// Fleet sizes up to which a turn has a length, and half of that length, in milliseconds: the time in
/// which all others have heard of a send.
const HALF_TURNS: [(usize, u64); 2] = [(24, 80), (100, 175)];
/// Half of a turn in larger fleets, in which digests pass on what heartbeats tell.
const LARGE_HALF_TURN: u64 = 280;

/// What an instance knows of those that share limits with it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Fleet {
    /// Number of this instance.
    pub me: u64,
    /// Numbers of all instances that may send, this one included.
    pub all: Vec<u64>,
    /// Numbers of those that are known to have had requests in their queues for a while.
    pub waiting: Vec<u64>,
    /// Half of the others or more have been heard lately.
    pub informed: bool,
}

impl Fleet {
    /// Number of instances that may send.
    pub(super) fn size(&self) -> usize {
        self.all.len().max(1)
    }

    /// Time in which all others have heard of a send, in milliseconds.
    pub(super) fn news_delay(&self) -> u64 {
        let sized = HALF_TURNS.iter().find(|(most, _)| self.size() <= *most);
        sized.map_or(LARGE_HALF_TURN, |(_, half)| *half)
    }

    /// Number of the turn at `now`; `None` in its second half, in which the news of it spread.
    pub(super) fn turn(&self, now: Millis) -> Option<u64> {
        let half = self.news_delay();
        (now / half).is_multiple_of(2).then_some(now / half / 2)
    }

    /// Place of this instance in a turn at an endpoint; `None` if the turn is of others. Every second one
    /// is of the instances that wait, if there are any.
    pub(super) fn place(&self, turn: u64, key: u32) -> Option<Place> {
        let waits = turn.is_multiple_of(2) && !self.waiting.is_empty();
        let takers = if waits { &self.waiting } else { &self.all };
        let score = |w: u64| xxh3_64_with_seed(&key.to_le_bytes(), w ^ turn.rotate_left(32));
        let own = score(self.me);
        let rank = takers.iter().filter(|w| score(**w) > own).count();
        takers.contains(&self.me).then_some(Place { rank, takers: takers.len() })
    }
}

/// Place of an instance in a turn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Place {
    /// Number of instances before it.
    rank: usize,
    /// Number of instances whose turn it is.
    takers: usize,
}

impl Place {
    /// Its part of a number of requests, which those whose turn it is divide. The first ones take what
    /// doesn't divide evenly.
    pub(super) fn part(self, requests: usize) -> usize {
        requests / self.takers + usize::from(self.rank < requests % self.takers)
    }
}
