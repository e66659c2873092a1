//! Connections to endpoints: connects, writes requests, reads responses, keeps connections for
//! reuse.

use std::io;
use std::net::SocketAddr;

use mio::Interest;

use super::{Driver, link_token};
use crate::adapter::clock::Millis;
use crate::relay::budget::Holder;
use crate::relay::link::{CONNECT_TIMEOUT, CallerRef, Disconnect, IDLE_TIMEOUT_ONCE, Link};
use crate::relay::output::{WriteEnd, append};
use crate::relay::read::{READ_BUDGET, ReadEnd, read_available};
use crate::relay::sockets;
use crate::relay::timers::Owner;

/// Fraction of an endpoint's maximum connections that the fleet uses.
const CONNS_FRACTION: f64 = 0.9;

impl Driver {
    /// Takes the most recently used idle connection to an endpoint, unless it has been idle for too
    /// long or the endpoint has refused the `attempt` over it: a copy of that refusal could not be told
    /// from a new one. `at_most_once` is true for a request that must not run twice; its limit is
    /// shorter.
    pub(super) fn take_idle_link(
        &mut self,
        endpoint: &str,
        attempt: &str,
        at_most_once: bool,
    ) -> Option<usize> {
        let now = self.clock.now();
        let list = self.idle_links.get_mut(endpoint)?;
        let index = *list.last()?;
        let link = &self.links[index];
        let timeout =
            if at_most_once { link.idle_timeout.min(IDLE_TIMEOUT_ONCE) } else { link.idle_timeout };
        if link.idle_since + timeout <= now || link.refused.contains(attempt) {
            return None;
        }
        list.pop();
        Some(index)
    }

    /// True if another connection to the endpoint may be opened. Its maximum number of connections
    /// is divided equally among the instances.
    pub(super) fn can_connect(&mut self, endpoint: &str, service: &str) -> bool {
        if self.links.len() >= self.setup.budget.links && !self.drop_idle_link() {
            return false;
        }
        let Some(limit) = self.table.services.get(service).map(|s| s.max_conns) else {
            return true;
        };
        let sharers = self.peers.sharers(self.clock.now()) as f64;
        let share = (f64::from(limit) * CONNS_FRACTION / sharers).max(1.0);
        let open = self.links.iter().filter(|(_, l)| l.endpoint == endpoint).count();
        (open as f64) < share
    }

    /// Closes an idle connection. Returns false if there is none.
    fn drop_idle_link(&mut self) -> bool {
        let first = self.idle_links.values().find_map(|list| list.first().copied());
        first.inspect(|index| self.drop_link(*index)).is_some()
    }

    /// Starts to connect to an endpoint, and returns the index of the connection.
    pub(super) fn connect(
        &mut self,
        endpoint: &str,
        service: &str,
        addr: SocketAddr,
    ) -> io::Result<usize> {
        let sock = sockets::connect(addr).inspect_err(|e| {
            if e.kind() == io::ErrorKind::ConnectionRefused {
                self.refused.push((service.to_owned(), endpoint.to_owned()));
            }
        })?;
        let now = self.clock.now();
        let serial = self.next_serial();
        let index = self.links.insert(Link::new(sock, serial, endpoint, service, now));
        let both = Interest::READABLE | Interest::WRITABLE;
        let sock = &mut self.links[index].sock;
        if let Err(e) = self.poll.registry().register(sock, link_token(index), both) {
            self.links.remove(index);
            return Err(e);
        }
        self.metrics.connects.inc();
        self.timers.set(now + CONNECT_TIMEOUT, Owner::Link(index, serial));
        Ok(index)
    }

    /// Sends a request over a connection.
    pub(super) fn start_request(
        &mut self,
        index: usize,
        caller: CallerRef,
        method: &str,
        bytes: Vec<u8>,
    ) {
        self.links[index].begin(caller, method, bytes);
        if self.links[index].connected {
            self.flush_link(index);
        }
        self.account_link(index);
    }

    pub(super) fn link_event(&mut self, index: usize, readable: bool, writable: bool) {
        if !self.links.contains(index) {
            return;
        }
        if writable && !self.links[index].connected && !self.finish_connect(index) {
            return;
        }
        if readable {
            self.read_link(index);
        }
        if writable && self.links.get(index).is_some_and(|l| l.connected) {
            self.flush_link(index);
        }
        if let Some(link) = self.links.get_mut(index) {
            link.trim();
            // The caller may hold a part of an event that is not complete.
            let caller = link.caller;
            caller.inspect(|c| self.account_caller(c.index));
        }
        self.account_link(index);
    }

    /// Completes a non-blocking connect. Returns false if it failed.
    fn finish_connect(&mut self, index: usize) -> bool {
        let link = &mut self.links[index];
        let error = match link.sock.take_error() {
            Ok(error) => error.or_else(|| link.sock.peer_addr().err()),
            Err(e) => Some(e),
        };
        if let Some(error) = error {
            let unsent = link.sock.peer_addr().is_err();
            if error.kind() == io::ErrorKind::ConnectionRefused {
                self.refused.push((link.service.clone(), link.endpoint.clone()));
            }
            self.link_ended(index, Disconnect::Reset, unsent);
            return false;
        }
        link.connected = true;
        if let Err(e) = link.sock.set_nodelay(true) {
            tracing::debug!("relay: TCP_NODELAY not set: {e}");
        }
        if link.caller.is_none() {
            self.keep_idle(index);
        }
        true
    }

    fn flush_link(&mut self, index: usize) {
        let link = &mut self.links[index];
        // The endpoint may have answered before the connection broke: what it sent is still to be read.
        let (sent, end) = link.out.write_to(&mut link.sock);
        link.wrote |= sent > 0;
        link.reset |= end == WriteEnd::Reset;
    }

    fn read_link(&mut self, index: usize) {
        let end = self.fill_link(index);
        if self.links[index].caller.is_none() {
            self.log_surplus(index);
            if end.is_some() || !self.links[index].input.is_empty() {
                self.drop_link(index);
            }
            return;
        }
        self.advance_link(index);
        // `advance_link` may have released the connection, and its index may be in use again.
        if let Some(end) = end
            && self.links.get(index).is_some_and(|l| l.caller.is_some() || l.input.is_empty())
        {
            self.link_ended(index, end, false);
        }
    }

    /// Reads available bytes into the input buffer. Returns how the connection ended, if so.
    fn fill_link(&mut self, index: usize) -> Option<Disconnect> {
        let held = self.links[index].buffered();
        if !self.may_read(held, self.turn.endpoint_bytes) {
            self.unread.insert(link_token(index));
            return None;
        }
        let Link { sock, input, .. } = &mut self.links[index];
        let bytes = &mut self.turn.endpoint_bytes;
        let end = read_available(sock, &mut self.buffer, READ_BUDGET, |piece| {
            *bytes += piece.len();
            append(input, piece, usize::MAX);
        });
        match end {
            ReadEnd::Drained => None,
            ReadEnd::Budget => {
                self.unread.insert(link_token(index));
                None
            }
            ReadEnd::Closed => Some(Disconnect::Closed),
            ReadEnd::Reset => Some(Disconnect::Reset),
        }
    }

    /// Logs that bytes have arrived which belong to no request; the connection is closed for them.
    fn log_surplus(&self, index: usize) {
        let Some(link) = self.links.get(index).filter(|l| !l.input.is_empty()) else { return };
        let (id, bytes) = (self.attempt_of(index), link.input.len());
        tracing::info!(id, endpoint = link.endpoint, bytes, "relay: surplus after a response");
    }

    /// Keeps a connection for reuse after a complete response, or closes it if it isn't reusable.
    pub(super) fn release_link(&mut self, index: usize) {
        self.log_surplus(index);
        let Some(link) = self.links.get_mut(index) else { return };
        // More than the response may have arrived.
        if !link.reusable() || self.unread.contains(&link_token(index)) {
            self.drop_link(index);
            return;
        }
        link.update_idle_timeout();
        link.caller = None;
        link.served += 1;
        link.clear();
        link.trim();
        self.account_link(index);
        self.keep_idle(index);
    }

    /// Keeps a connection without a request for reuse.
    fn keep_idle(&mut self, index: usize) {
        let now = self.clock.now();
        let link = &mut self.links[index];
        link.idle_since = now;
        let (endpoint, serial, timeout) = (link.endpoint.clone(), link.serial, link.idle_timeout);
        self.idle_links.entry(endpoint).or_default().push(index);
        self.timers.set(now + timeout, Owner::Link(index, serial));
    }

    /// Handles a timer of a connection: connect timeout or idle timeout.
    pub(super) fn link_timer_fired(&mut self, index: usize, serial: u64) {
        if self.links.get(index).is_none_or(|l| l.serial != serial) {
            return;
        }
        let now = self.clock.now();
        let link = &self.links[index];
        if !link.connected {
            self.check_connect_timeout(index, now);
        } else if link.caller.is_none() && link.idle_since + link.idle_timeout <= now {
            self.drop_link(index);
        }
    }

    fn check_connect_timeout(&mut self, index: usize, now: Millis) {
        let link = &self.links[index];
        if link.opened + CONNECT_TIMEOUT <= now {
            self.link_ended(index, Disconnect::Reset, true);
        }
    }

    pub(super) fn drop_link(&mut self, index: usize) {
        let Some(mut link) = self.links.try_remove(index) else { return };
        self.account.set(&mut link.held, Holder::Link(index), 0, false, 0);
        if let Some(list) = self.idle_links.get_mut(&link.endpoint) {
            list.retain(|i| *i != index);
        }
        if let Err(e) = self.poll.registry().deregister(&mut link.sock) {
            tracing::debug!("relay: connection not deregistered from the poller: {e}");
        }
    }

    /// Closes idle connections to an endpoint.
    pub(super) fn drop_idle_links(&mut self, endpoint: &str) {
        for index in self.idle_links.get(endpoint).cloned().unwrap_or_default() {
            self.drop_link(index);
        }
    }

    /// Closes idle connections to endpoints that are no longer listed.
    pub(super) fn drop_unlisted_links(&mut self) {
        let listed = |id: &str| self.pools.values().any(|p| p.balancer.get(id).is_some());
        let unlisted: Vec<usize> = self
            .links
            .iter()
            .filter(|(_, l)| l.caller.is_none() && !listed(&l.endpoint))
            .map(|(i, _)| i)
            .collect();
        for index in unlisted {
            self.drop_link(index);
        }
        self.idle_links.retain(|_, list| !list.is_empty());
    }
}
