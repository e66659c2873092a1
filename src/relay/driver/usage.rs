//! Counting of requests that begin to run, and what the duties need to know of the fleet.

use std::net::SocketAddr;

use super::Driver;
use crate::adapter::clock::Millis;
use crate::policy::lease::Candidate;
use crate::policy::usage::Counts;
use crate::relay::duty;
use crate::relay::gossip::Fitness;
use crate::relay::timers::Owner;

/// Interval between datagrams with usage counts, in milliseconds, in a fleet of up to
/// [`FULL_RATE_FLEET`] instances; it grows in proportion with more. The counts of one interval are lost
/// with an instance that is killed.
const COUNTS_INTERVAL: u64 = 500;
const FULL_RATE_FLEET: u64 = 100;
/// Time for which other instances are preferred for duties after a slow turn, in milliseconds.
const SLOW_IMPAIRED_MS: u64 = 5_000;

impl Driver {
    /// Counts the run of a request whose response is not a stream, once the head of the response has
    /// arrived: the endpoint has begun to work on it shortly before.
    pub(super) fn count_response(&mut self, index: usize) {
        let Some(link) = self.links.get(index).filter(|l| !l.foreign) else { return };
        let (Some(head), Some(caller)) = (&link.head, link.caller) else { return };
        let refused = head.status == 421 || head.count(self.setup.names.not_run) > 0;
        let exchange = self.callers.get(caller.index).and_then(|c| c.exchange.as_ref());
        if refused || exchange.is_none_or(|e| e.kind().is_stream()) {
            return;
        }
        self.count_run(caller.index);
    }

    /// Counts the run of a stream at its first event. One that continues an earlier response was counted
    /// there.
    pub(super) fn count_stream(&mut self, caller: usize) {
        let name = self.setup.names.last_event;
        let exchange = self.callers.get(caller).and_then(|c| c.exchange.as_ref());
        if exchange.is_some_and(|e| e.head.get(name).is_none()) {
            self.count_run(caller);
        }
    }

    fn count_run(&mut self, caller: usize) {
        let Some(duties) = self.setup.duties.as_ref().filter(|d| d.usage) else { return };
        let exchange = self.callers.get(caller).and_then(|c| c.exchange.as_ref());
        let Some(workspace) = exchange.and_then(|e| e.workspace.as_ref()) else { return };
        let now = self.shared.duties().true_time(self.clock.now());
        self.counter.add(&duties.times, now, &workspace.name);
    }

    /// What this instance is as a candidate for duties.
    pub(super) fn fitness(&self, now: Millis) -> Option<Fitness> {
        let duties = self.setup.duties.as_ref()?;
        let board = self.shared.duties();
        let impaired = board.is_impaired(now) || self.shutdown.is_some();
        Some(Fitness { memory: duties.memory, impaired, holds: board.holds() })
    }

    /// This instance as a candidate.
    pub(super) fn own_candidate(&self, now: Millis) -> Option<Candidate> {
        let fitness = self.fitness(now)?;
        Some(Candidate {
            name: self.setup.name.clone(),
            addr: self.setup.peers,
            started: self.started_at,
            domain: self.setup.domain.clone(),
            memory: fitness.memory,
            impaired: fitness.impaired,
            holds: fitness.holds,
        })
    }

    /// Prefers other instances for duties after a slow turn.
    pub(super) fn impair_duties(&self) {
        let now = self.clock.now();
        self.shared.duties().impair(now + SLOW_IMPAIRED_MS);
    }

    /// Passes on what the heartbeats show to the thread of the duties.
    pub(super) fn update_duties(&mut self, now: Millis) {
        let Some(own) = self.own_candidate(now) else { return };
        let board = self.shared.duties();
        board.set_isolated(self.peers.is_isolated(now));
        board.set_offset(self.peers.clock_offset(now));
        board.set_candidates(self.peers.candidates(now, own));
        let me = self.setup.name.clone();
        board.set_reporting(
            self.peers.counting(now).map(|all| all.into_iter().chain([me]).collect()),
        );
    }

    /// Sends the usage counts to the candidates.
    pub(super) fn send_counts(&mut self, now: Millis) {
        let fleet = self.peers.sharers(now) as u64;
        let interval = COUNTS_INTERVAL * fleet.max(FULL_RATE_FLEET) / FULL_RATE_FLEET;
        self.timers.set(now + interval, Owner::Usage);
        let candidates = self.shared.duties().candidates();
        for candidate in &candidates {
            let known =
                self.informed.iter().any(|(n, s)| (n, s) == (&candidate.name, &candidate.started));
            self.send_counts_to(now, candidate, interval, !known);
        }
        self.informed = candidates.into_iter().map(|c| (c.name, c.started)).collect();
    }

    /// Sends all counts once more before the process ends.
    pub(super) fn send_last_counts(&mut self) {
        let now = self.clock.now();
        for candidate in self.shared.duties().candidates() {
            self.send_counts_to(now, &candidate, COUNTS_INTERVAL, true);
        }
    }

    fn send_counts_to(&mut self, now: Millis, to: &Candidate, interval: u64, all: bool) {
        let Some(times) = self.setup.duties.as_ref().filter(|d| d.usage).map(|d| d.times) else {
            return;
        };
        let now = self.shared.duties().true_time(now);
        for part in self.counter.messages(&times, now, interval, all) {
            let name = self.setup.name.clone();
            let message = Counts { name, started: self.started_at, part };
            if to.name == self.setup.name {
                self.shared.duties().add_counts(&times, now, message);
            } else if let Err(e) = self.udp.send_to(&duty::encode(&message), to.addr) {
                tracing::debug!(addr = %to.addr, "relay: datagram not sent: {e}");
            }
        }
    }

    /// Takes the usage counts in the first `n` bytes of the buffer.
    pub(super) fn receive_counts(&mut self, from: SocketAddr, n: usize) {
        let Some(duties) = &self.setup.duties else { return };
        let now = self.shared.duties().true_time(self.clock.now());
        match duty::decode(&self.buffer[..n]) {
            Ok(counts) => self.shared.duties().add_counts(&duties.times, now, counts),
            Err(e) => tracing::warn!(%from, "relay: malformed datagram ignored: {e}"),
        }
    }
}
