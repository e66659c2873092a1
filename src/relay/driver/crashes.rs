//! Attribution of broken attempts to crashes of endpoints, and the exchange of crashes with peers.

use indexmap::IndexSet;

use super::Driver;
use super::dispatch::RefuseReason;
use crate::adapter::clock::Millis;
use crate::policy::place::Listing;
use crate::policy::suspect::{Content, ContentState, Counted};
use crate::relay::gossip::Heartbeat;
use crate::relay::link::Link;

/// Number of crashes with which a content is quarantined.
const CRASH_LIMIT: u32 = 3;
/// Duration of a quarantine.
const QUARANTINE_MS: u64 = 600_000;
/// Maximum time from a broken connection until the endpoint list, or another incarnation at the
/// address, shows that the endpoint has crashed.
const CRASH_DETECT_MS: u64 = 6_000;

/// An attempt whose connection broke, possibly because the endpoint crashed.
#[derive(Debug)]
pub(super) struct BrokenAttempt {
    at: Millis,
    endpoint: String,
    /// The incarnation of the endpoint, which names the crash.
    incarnation: String,
    /// Contents of the request.
    contents: Vec<Content>,
}

impl Driver {
    /// Keeps an attempt whose connection broke as a possible crash, and checks whether the endpoint
    /// still accepts connections: its entry may stay listed for seconds after a crash.
    pub(super) fn record_broken(&mut self, service: &str, endpoint: &str, contents: Vec<Content>) {
        let at = self.clock.now();
        let incarnation = self.incarnation(service, endpoint);
        self.broken.push(BrokenAttempt {
            at,
            endpoint: endpoint.to_owned(),
            incarnation,
            contents,
        });
        self.probe(service, endpoint);
    }

    /// The current incarnation of an endpoint; its id if it is not listed.
    fn incarnation(&mut self, service: &str, endpoint: &str) -> String {
        let listed = self.pool(service).balancer.get(endpoint);
        listed.map_or_else(|| endpoint.to_owned(), |e| e.listing.incarnation())
    }

    /// Opens a connection to a listed endpoint, unless one is being opened already. It is kept for
    /// reuse.
    fn probe(&mut self, service: &str, endpoint: &str) {
        let opening = |l: &Link| l.endpoint == endpoint && !l.connected;
        if self.links.iter().any(|(_, l)| opening(l)) || !self.can_connect(endpoint, service) {
            return;
        }
        let Some(e) = self.pool(service).balancer.get(endpoint) else { return };
        let Ok(addr) = e.listing.addr.parse() else { return };
        if let Err(e) = self.connect(endpoint, service, addr) {
            tracing::warn!(endpoint, "relay: connection not opened: {e}");
        }
    }

    /// Handles the refused connections of this turn of the loop.
    pub(super) fn check_refused(&mut self) {
        for (service, endpoint) in std::mem::take(&mut self.refused) {
            self.connection_refused(&service, &endpoint);
        }
    }

    /// Handles a refused connection. If requests broke at the endpoint and no connection to it is
    /// open, it has crashed.
    fn connection_refused(&mut self, service: &str, endpoint: &str) {
        let now = self.clock.now();
        let is_open = self.links.iter().any(|(_, l)| l.endpoint == endpoint && l.connected);
        let is_broken = self.broken.iter().any(|b| b.endpoint == endpoint);
        if is_open || !is_broken {
            return;
        }
        let Some(e) = self.pool(service).balancer.get_mut(endpoint) else { return };
        if e.listing.leaving {
            return;
        }
        e.record_failure(now, true);
        self.record_crash(endpoint, "refused");
    }

    /// Records a crash of every incarnation that has disappeared from the endpoint list without
    /// having been marked as leaving.
    pub(super) fn detect_crashes(&mut self, service: &str, listings: &[Listing]) {
        let same = |l: &Listing, old: &Listing| l.id == old.id && l.started_at == old.started_at;
        let balancer = &self.pool(service).balancer;
        let gone = balancer.endpoints().filter(|e| !e.listing.leaving);
        let gone = gone.filter(|e| !listings.iter().any(|l| same(l, &e.listing)));
        let gone: Vec<String> = gone.map(|e| e.listing.id.clone()).collect();
        for id in gone {
            self.record_crash(&id, "unlisted");
        }
    }

    /// Records the crash of an incarnation against the contents of all attempts that broke there in
    /// the last [`CRASH_DETECT_MS`]: one of them is the cause, or a request that ran beside them.
    /// `evidence` tells the log how the crash was detected.
    pub(super) fn record_crash(&mut self, endpoint: &str, evidence: &'static str) {
        let now = self.clock.now();
        self.drop_old_broken(now);
        let (matching, rest) = std::mem::take(&mut self.broken)
            .into_iter()
            .partition::<Vec<_>, _>(|b| b.endpoint == endpoint);
        self.broken = rest;
        if matching.is_empty() {
            return;
        }
        let age = matching.iter().map(|b| now.saturating_sub(b.at)).max();
        let crashes: IndexSet<(Content, &str)> = matching
            .iter()
            .flat_map(|b| b.contents.iter().map(|content| (*content, b.incarnation.as_str())))
            .collect();
        let new = self.count_crashes(now, crashes.iter().copied(), evidence);
        let counted = crashes.iter().filter(|(content, _)| !self.suspects.is_sound(*content));
        let counted: Vec<(Content, &str)> = counted.copied().collect();
        counted.iter().for_each(|(content, crash)| self.reports.add(now, *content, crash));
        let contents: Vec<Content> = counted.iter().map(|(content, _)| *content).collect();
        self.schedule_heartbeat();
        tracing::info!(
            endpoint,
            evidence,
            age,
            requests = matching.len(),
            contents = contents.len(),
            new,
            most = self.most_crashes(&contents),
            "relay: crash recorded"
        );
    }

    /// Forgets broken attempts that no crash was found for.
    fn drop_old_broken(&mut self, now: Millis) {
        let before = self.broken.len();
        self.broken.retain(|b| b.at + CRASH_DETECT_MS > now);
        let dropped = before - self.broken.len();
        if dropped > 0 {
            tracing::info!(dropped, "relay: broken attempts without a crash");
        }
    }

    /// Counts crashes (content and incarnation) against contents, and returns how many were not known
    /// before.
    fn count_crashes<'a>(
        &mut self,
        now: Millis,
        crashes: impl Iterator<Item = (Content, &'a str)>,
        source: &str,
    ) -> usize {
        let mut new = 0;
        for (content, crash) in crashes {
            let counted =
                self.suspects.record_crash(now, content, crash, CRASH_LIMIT, QUARANTINE_MS);
            new += usize::from(counted != Counted::Known);
            if counted == Counted::Quarantined {
                self.quarantine_changed = true;
                tracing::warn!(content, crash, source, "relay: content quarantined");
            }
        }
        self.metrics.suspects.set(self.suspects.len() as i64);
        new
    }

    /// Largest number of crashes that count against one of the contents.
    fn most_crashes(&self, contents: &[Content]) -> usize {
        contents.iter().map(|c| self.suspects.crash_count(*c)).max().unwrap_or_default()
    }

    /// True if a request with these contents must not run.
    pub(super) fn is_quarantined(&self, now: Millis, contents: &[Content]) -> bool {
        let state = |content: &Content| self.suspects.state(now, *content);
        contents.iter().any(|c| matches!(state(c), ContentState::Quarantined { .. }))
    }

    /// Ends the requests whose content has been quarantined since they were admitted: those that wait,
    /// and those at an endpoint that hasn't answered yet.
    pub(super) fn end_quarantined(&mut self) {
        if !std::mem::take(&mut self.quarantine_changed) {
            return;
        }
        let now = self.clock.now();
        let exchanges = self.callers.iter().filter_map(|(i, c)| Some((i, c.exchange.as_ref()?)));
        let found =
            exchanges.filter(|(_, e)| !e.streaming && self.is_quarantined(now, &e.contents));
        let found: Vec<usize> = found.map(|(i, _)| i).collect();
        for caller in found {
            self.end_request(caller, RefuseReason::Quarantined);
        }
    }

    /// Records that an endpoint has answered on prompt segments.
    pub(super) fn record_sound(&mut self, segments: &[Content]) {
        let now = self.clock.now();
        for segment in segments {
            if self.suspects.record_sound(now, *segment) {
                tracing::info!(content = segment, "relay: quarantine ended, segment is sound");
            }
        }
    }

    /// Counts the crashes that a peer reports. Where they concern a segment that is known to be
    /// sound here, the peers are told.
    pub(super) fn apply_crash_reports(&mut self, heartbeat: &Heartbeat) {
        let now = self.clock.now();
        heartbeat.sound.iter().for_each(|segment| _ = self.sound_news.swap_remove(segment));
        self.record_sound(&heartbeat.sound);
        let reported = heartbeat.crashes.iter().map(|(content, _)| *content);
        let sound: Vec<Content> = reported.filter(|c| self.suspects.is_sound(*c)).collect();
        if !sound.is_empty() {
            self.sound_news.extend(sound);
            self.schedule_heartbeat();
        }
        let crashes = heartbeat.crashes.iter().map(|(content, id)| (*content, id.as_str()));
        let new = self.count_crashes(now, crashes, &heartbeat.name);
        if new == 0 {
            return;
        }
        let contents: Vec<Content> = heartbeat.crashes.iter().map(|(c, _)| *c).collect();
        tracing::info!(
            peer = heartbeat.name,
            reports = contents.len(),
            new,
            most = self.most_crashes(&contents),
            "relay: crash reports received"
        );
    }

    /// Crashes by content for the next heartbeat.
    pub(super) fn take_crash_reports(&mut self, now: Millis) -> Vec<(Content, String)> {
        let (suspects, peers) = (&self.suspects, self.peers.addrs().count());
        let evidence = || suspects.evidence(now, CRASH_LIMIT);
        self.reports.refresh(now, peers, rand::random(), evidence);
        let taken = self.reports.take(now);
        self.metrics.reports_due.set(self.reports.due(now) as i64);
        taken
    }

    /// Revokes a crash: the incarnation has completed a request since.
    pub(super) fn revoke_crash(&mut self, service: &str, endpoint: &str) {
        let now = self.clock.now();
        let incarnation = self.incarnation(service, endpoint);
        let released = self.suspects.revoke_crash(now, &incarnation, CRASH_LIMIT);
        if !released.is_empty() {
            tracing::info!(endpoint, contents = released.len(), "relay: quarantine ended");
        }
    }
}
