//! Streams that callers may resume: which software version began them, and where they may go on.

use indexmap::IndexSet;

use super::Driver;
use super::dispatch::RefuseReason;
use super::outcome::Cause;
use crate::adapter::clock::Millis;
use crate::fleet::replica::Topic;
use crate::mechanism::{self, Mechanism};
use crate::policy::origin::{Begin, Readiness, Software, Verdict};
use crate::policy::place::{Endpoint, Listing};
use crate::relay::exchange::{Exchange, Lineage, Resume};
use crate::relay::state::Updates;
use crate::relay::table::{RouteKind, RoutingTable};
use crate::relay::timers::Owner;

/// Minimum interval between two values of a record that are passed on to be written, in milliseconds.
const FLUSH_INTERVAL: u64 = 10;
/// Maximum age of an endpoint list that counts as up to date, in milliseconds.
const MAX_LIST_AGE: u64 = 3_000;

/// Maximum age of an endpoint list with which streams begin at a base without a record, in milliseconds:
/// others count an instance that they don't hear for a little longer.
const MAX_TRUSTED_AGE: u64 = 8_000;

/// Whether a resumed stream may be sent now.
pub(super) enum Resumption {
    /// It may, or it isn't one.
    Free,
    /// The records are being read.
    Wait,
    /// It can't go on.
    Refuse(RefuseReason),
}

impl Driver {
    /// Decides at which version a resumed stream goes on; asks for the records if it isn't known.
    pub(super) fn resolve_resume(&mut self, index: usize) -> Resumption {
        let now = self.clock.now();
        let Some(exchange) = self.callers[index].exchange.as_ref() else { return Resumption::Free };
        match (&exchange.lineage, &exchange.resume) {
            (Lineage::Reading(_), _) => return Resumption::Wait,
            (Lineage::Free, Some(_)) => {}
            _ => return Resumption::Free,
        }
        let attempt = exchange.resume.as_ref().and_then(|r| r.attempt.as_deref());
        if let Some(verdict) = attempt.and_then(|a| self.origins.own(now, a)) {
            return self.apply_verdict(index, verdict, "own");
        }
        let read = self.shared.ledger().request_read();
        if let Some(exchange) = self.callers[index].exchange.as_mut() {
            exchange.lineage = Lineage::Reading(read);
        }
        Resumption::Wait
    }

    fn apply_verdict(&mut self, index: usize, verdict: Verdict, by: &'static str) -> Resumption {
        let Some(exchange) = self.callers[index].exchange.as_mut() else { return Resumption::Free };
        let software = match verdict {
            Verdict::Began(software) => Some(software),
            Verdict::Unknown => None,
        };
        let Resume { attempt, last_event } = exchange.resume.clone().unwrap_or_default();
        exchange.lineage = Lineage::Fixed;
        exchange.requirements.software = software;
        let (id, service) = (exchange.id.clone(), exchange.service.clone());
        let until = exchange.waits_until;
        if let (Some(software), Some(attempt)) = (software, &attempt) {
            self.origins.adopt(self.clock.now(), &service, attempt, software, until);
        }
        let serves = software.is_some_and(|v| self.serves(&service, v));
        tracing::info!(
            id,
            service,
            attempt,
            last_event,
            by,
            ?software,
            serves,
            list_age = self.list_age(),
            "relay: stream resumed by its caller"
        );
        match software {
            None => Resumption::Refuse(RefuseReason::UnknownOrigin),
            Some(_) if !serves => Resumption::Refuse(RefuseReason::NoVersion),
            Some(_) => Resumption::Free,
        }
    }

    /// Software version of an endpoint, for logs.
    pub(super) fn version_of(&self, service: &str, endpoint: &str) -> &str {
        let found = self.pools.get(service).and_then(|p| p.balancer.get(endpoint));
        found.map_or("", |e| e.listing.version.as_str())
    }

    /// True if an endpoint of a service with a software version accepts work.
    fn serves(&self, service: &str, software: Software) -> bool {
        let balancer = self.pools.get(service).map(|p| &p.balancer);
        balancer.is_some_and(|b| {
            b.endpoints().any(|e| e.software() == Some(software) && e.accepts_work())
        })
    }

    /// True if a request has to go on at a version of which no endpoint accepts work.
    pub(super) fn lost_version(&self, index: usize) -> bool {
        let Some(exchange) = self.callers.get(index).and_then(|c| c.exchange.as_ref()) else {
            return false;
        };
        let software = exchange.requirements.software;
        exchange.lineage == Lineage::Fixed
            && software.is_some_and(|v| !self.serves(&exchange.service, v))
    }

    /// Sets the versions at which a request that has brought no event may begin now.
    pub(super) fn restrict_versions(&mut self, index: usize) {
        let now = self.clock.now();
        let Some(exchange) = self.callers[index].exchange.as_ref() else { return };
        if !tracks_version(exchange) || !exchange.lineage.is_open() {
            return;
        }
        let service = exchange.service.clone();
        let begin = self.origins.begin(now, &service, |v| self.serves(&service, v));
        let Some(exchange) = self.callers[index].exchange.as_mut() else { return };
        match begin {
            Begin::Any | Begin::Base(_) if exchange.lineage == Lineage::Recording => {}
            Begin::Any | Begin::Unrecorded => {
                exchange.lineage = Lineage::Free;
                exchange.requirements.software = None;
            }
            // No version is this one: it waits, and is refused after its maximum wait.
            Begin::Refuse => {
                exchange.lineage = Lineage::Free;
                exchange.requirements.software = Some(Software::none());
            }
            Begin::Base(base) => {
                exchange.lineage = Lineage::Free;
                exchange.requirements.software = Some(base);
            }
        }
    }

    /// Prepares a request to be sent to an endpoint: which version begins a stream is recorded before.
    pub(super) fn prepare_origin(&mut self, index: usize, endpoint: &str) -> Readiness {
        let now = self.clock.now();
        let Some(exchange) = self.callers[index].exchange.as_ref() else { return Readiness::Ready };
        if !tracks_version(exchange) {
            return Readiness::Ready;
        }
        let (id, service) = (exchange.id.clone(), exchange.service.clone());
        let (fixed, until) = (exchange.lineage == Lineage::Fixed, exchange.waits_until);
        let found = self.pools.get(&service).and_then(|p| p.balancer.get(endpoint));
        let Some((software, key)) = found.and_then(|e| Some((e.software()?, e.key()))) else {
            return Readiness::Ready;
        };
        let readiness = if fixed {
            Readiness::Ready
        } else {
            self.origins.prepare(now, &service, &id, software, until)
        };
        let Some(exchange) = self.callers[index].exchange.as_mut() else { return Readiness::Ready };
        match readiness {
            Readiness::Ready => exchange.sent_to = Some((software, key)),
            Readiness::Wait => {
                exchange.lineage = Lineage::Recording;
                exchange.requirements.software = Some(software);
            }
            Readiness::Stuck => {}
        }
        readiness
    }

    /// True if a request is sent as soon as its record is written.
    pub(super) fn is_recording(&self, now: Millis, index: usize) -> bool {
        let Some(exchange) = self.callers[index].exchange.as_ref() else { return false };
        exchange.lineage == Lineage::Recording && self.origins.is_recording(now, &exchange.id)
    }

    /// Reserves room at an endpoint for a request whose record is being written.
    pub(super) fn reserve(&mut self, index: usize, endpoint: &str) {
        let now = self.clock.now();
        let Some(exchange) = self.callers[index].exchange.as_mut() else { return };
        let Some(pool) = self.pools.get_mut(&exchange.service) else { return };
        let load = pool.balancer.reserve_for(now, endpoint, &exchange.requirements);
        exchange.reserved = Some((endpoint.to_owned(), load));
        self.has_reserved = true;
    }

    /// Gives back the room that is reserved for a request.
    pub(super) fn unreserve(&mut self, index: usize) {
        let Some(exchange) = self.callers[index].exchange.as_mut() else { return };
        let Some((endpoint, load)) = exchange.reserved.take() else { return };
        if let Some(pool) = self.pools.get_mut(&exchange.service) {
            pool.balancer.unreserve(&endpoint, load);
        }
    }

    /// Reserves room anew for all queued requests: some have left the queue since the last time.
    pub(super) fn reserve_all(&mut self) {
        if !std::mem::take(&mut self.has_reserved) {
            return;
        }
        self.pools.values_mut().for_each(|p| p.balancer.clear_reserved());
        for (_, index) in self.queue.ordered() {
            let exchange = self.callers.get(index).and_then(|c| c.exchange.as_ref());
            let Some(exchange) = exchange else { continue };
            let Some((endpoint, load)) = &exchange.reserved else { continue };
            if let Some(pool) = self.pools.get_mut(&exchange.service) {
                pool.balancer.reserve(endpoint, *load);
                self.has_reserved = true;
            }
        }
    }

    /// Frees a request that waits for its record to begin at another version.
    pub(super) fn free_version(&mut self, index: usize) {
        if let Some(exchange) = self.callers[index].exchange.as_mut()
            && exchange.lineage.is_open()
        {
            exchange.lineage = Lineage::Free;
            exchange.requirements.software = None;
        }
    }

    /// True if the endpoint that a stream was sent to has turned out to be another incarnation.
    fn was_restarted(&self, index: usize) -> bool {
        let Some(exchange) = self.callers[index].exchange.as_ref() else { return false };
        let Some((software, key)) = exchange.sent_to else { return false };
        let Some(placement) = &exchange.placement else { return false };
        let pool = self.pools.get(&exchange.service);
        let found = pool.and_then(|p| p.balancer.get(&placement.endpoint));
        found.is_some_and(|e| e.key() != key && e.software() != Some(software))
    }

    /// True if the first event of a stream comes from another version than it was sent to.
    pub(super) fn mixes_versions(&self, index: usize) -> bool {
        let restarted = self.was_restarted(index);
        if restarted {
            let id = self.callers[index].exchange.as_ref().map(|e| e.id.as_str());
            tracing::warn!(id, "relay: endpoint has restarted in another version");
        }
        restarted
    }

    /// Fixes the version of a stream at its first event.
    pub(super) fn fix_version(&mut self, index: usize) {
        let Some(exchange) = self.callers[index].exchange.as_mut() else { return };
        let Some((software, _)) = exchange.sent_to.take() else { return };
        exchange.lineage = Lineage::Fixed;
        exchange.requirements.software = Some(software);
    }

    /// Ends or doubts the streams at endpoints that have started again under their id in another version.
    pub(super) fn check_restarts(&mut self, service: &str, listings: &[Listing]) {
        let Some(pool) = self.pools.get(service) else { return };
        let changed = |l: &&Listing| {
            pool.balancer.get(&l.id).is_some_and(|e| e.software() != Some(l.software()))
        };
        let changed: IndexSet<&str> =
            listings.iter().filter(changed).map(|l| l.id.as_str()).collect();
        if changed.is_empty() {
            return;
        }
        let at_changed = |e: &Exchange| {
            tracks_version(e)
                && e.placement.as_ref().is_some_and(|p| changed.contains(p.endpoint.as_str()))
        };
        let exchanges =
            self.callers.iter().filter_map(|(_, c)| Some((c.exchange.as_ref()?.as_ref(), c)));
        let hit: Vec<_> = exchanges
            .filter(|(e, _)| at_changed(e))
            .map(|(e, _)| (e.id.clone(), e.link, e.resume.is_some() || e.runs > 0))
            .collect();
        for (id, link, resumed) in hit {
            self.origins.doubt(&id);
            if resumed && let Some(link) = link {
                self.link_failed(link, Cause::ConnectionLost);
            }
        }
    }

    /// Takes the versions that are listed for all services.
    pub(super) fn observe_versions(&mut self, now: Millis) {
        if let Some(era) = self.shared.era() {
            self.origins.note_era(now, era);
        }
        self.origins.set_write_wait(self.shared.ledger().write_interval());
        let informed = self.shared.replica(Topic::Endpoints).end() > 0 && self.is_informed(now);
        for (name, pool) in &self.pools {
            self.origins.observe(now, name, &pool.balancer.listed_versions(), informed);
        }
        let synced_at = self.shared.replica(Topic::Endpoints).synced_at();
        let current = self.peers.hears_most(now) && self.have_same_list(now);
        let relied = if current { synced_at.max(now) } else { synced_at };
        self.origins.rely_on_list(relied + MAX_TRUSTED_AGE);
        if self.origins.needs_read(now) {
            let number = self.shared.ledger().request_read();
            self.origins.set_reading(now, number);
        }
        self.origins.expire(now);
    }

    /// True if the endpoint list is up to date at all instances.
    fn is_informed(&self, now: Millis) -> bool {
        self.list_age() < MAX_LIST_AGE
            && !self.shared.is_disconnected()
            && self.peers.is_complete(now)
            && self.peers.hears_most(now)
            && self.peers.members(now).all(|p| !p.heartbeat.disconnected)
    }

    /// True if all instances that this one hears have the same endpoint list.
    fn have_same_list(&self, now: Millis) -> bool {
        let end = self.shared.replica(Topic::Endpoints).end();
        self.peers.members(now).chain(self.peers.remote(now)).all(|p| p.heartbeat.ends.1 == end)
    }

    /// Takes the timeouts of a configuration: a stream may last for the longest.
    pub(super) fn extend_lifetime(&mut self, table: &RoutingTable) {
        let routes = table.routes.values().flatten();
        let resumable = routes.filter(|r| r.kind == RouteKind::Resumable);
        resumable.for_each(|r| self.origins.add_timeout(r.timeout));
    }

    /// Applies records that were read, and what has been written.
    pub(super) fn apply_ledger(&mut self, updates: &mut Updates) {
        let now = self.clock.now();
        if let Some(era) = updates.ledger_era {
            self.origins.set_era(now, era);
        }
        for (key, value) in updates.records.drain(..) {
            if !self.origins.learn(now, &key, &value) {
                tracing::warn!(key, bytes = value.len(), "relay: record of streams is malformed");
            }
        }
        if let Some(number) = updates.written {
            self.origins.set_written(now, number);
            self.load_changed = true;
        }
        if let Some((number, ok)) = updates.read {
            self.origins.finish_read(now, number, ok);
            self.observe_versions(now);
            self.finish_reads(now, number, ok);
        }
    }

    /// Decides on the streams whose records have been read, or could not be read.
    fn finish_reads(&mut self, now: Millis, number: u64, ok: bool) {
        let is_done = |lineage: &Lineage| matches!(lineage, Lineage::Reading(n) if *n <= number);
        let done: Vec<usize> = self
            .callers
            .iter()
            .filter(|(_, c)| c.exchange.as_ref().is_some_and(|e| is_done(&e.lineage)))
            .map(|(index, _)| index)
            .collect();
        let current = self.peers.hears_all(now) && self.have_same_list(now);
        for index in done {
            let Some(exchange) = self.callers[index].exchange.as_ref() else { continue };
            let attempt = exchange.resume.as_ref().and_then(|r| r.attempt.as_deref());
            let verdict = self.origins.verdict(now, &exchange.service, attempt, ok, current);
            let by = if ok { "read" } else { "not read" };
            if let Resumption::Refuse(reason) = self.apply_verdict(index, verdict, by) {
                self.end_request(index, reason);
            }
        }
        self.load_changed = true;
    }

    /// Passes on what is to be written.
    pub(super) fn flush_origins(&mut self) {
        if !self.origins.has_writes() {
            return;
        }
        let now = self.clock.now();
        if now < self.flushed_at + FLUSH_INTERVAL {
            return self.timers.set(self.flushed_at + FLUSH_INTERVAL, Owner::Ledger);
        }
        let ledger = self.shared.ledger().clone();
        if let Some((key, value)) = self.origins.take_write(now) {
            self.flushed_at = now;
            self.origins.set_submitted(now, ledger.put(&key, value));
        }
    }

    /// True if another endpoint can take a request that its last one has failed.
    pub(super) fn has_other(&self, index: usize) -> bool {
        let Some(exchange) = self.callers[index].exchange.as_ref() else { return false };
        let needs = &exchange.requirements;
        let fits = |e: &Endpoint| {
            let runs_version = needs.software.is_none() || needs.software == e.software();
            runs_version && e.accepts_work() && !needs.avoid.contains(&e.listing.id)
        };
        self.pools.get(&exchange.service).is_some_and(|p| p.balancer.endpoints().any(fits))
    }
}

/// True for a stream that callers may resume.
fn tracks_version(exchange: &Exchange) -> bool {
    exchange.kind() == RouteKind::Resumable && mechanism::on(Mechanism::Versions)
}
