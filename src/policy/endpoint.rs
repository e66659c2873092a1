//! State of one endpoint as seen by this instance: membership, load, token rate and health.

use indexmap::IndexMap;

use super::length::update_average;
use crate::adapter::clock::Millis;

/// Consecutive failures after which an endpoint is ejected.
const FAULT_LIMIT: u32 = 3;
/// Duration of the first ejection in milliseconds; it doubles with each further one.
const EJECT_BASE: u64 = 2_000;
/// Longest ejection, before jitter, in milliseconds. The backoff starts again at
/// [`EJECT_BASE`] for an endpoint that is healthy this long after its last ejection.
const EJECT_MAX: u64 = 60_000;
/// Age of the last report, in milliseconds, above which an endpoint counts as silent.
pub const REPORT_MAX_AGE: u64 = 3_000;
/// Ratio to the median token gap above which an endpoint is a straggler.
pub const SLOW_RATIO: f64 = 2.5;
/// Samples needed before the average token gap of an endpoint is used.
pub const MIN_GAP_SAMPLES: u32 = 5;

/// A load report as sent by an endpoint.
#[derive(Debug, Clone, Default, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(default)]
pub struct Report {
    /// Boot id, which identifies the incarnation; changes at each restart of the endpoint.
    pub boot: String,
    /// Requests in the running batch.
    pub running: u32,
    /// Requests in the endpoint's own queue.
    pub waiting: u32,
    /// True when the endpoint accepts no new requests.
    pub draining: bool,
    /// Age of these figures in milliseconds.
    pub age: u64,
}

/// Why an endpoint was ejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// Several consecutive failures, a failed probe, or a crash.
    Faults,
    /// Token gap far above that of the other endpoints ([`SLOW_RATIO`]).
    Slow,
}

/// Health derived from the outcomes of requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// Accepts requests.
    Up,
    /// Gets no requests until the given time.
    Ejected { until: Millis, cause: Cause },
    /// Gets one request at a time as a probe; `busy` while one is in flight. Probing began at
    /// `since`.
    Probing { busy: bool, since: Millis },
}

/// One endpoint of a service.
#[derive(Debug, Clone)]
pub struct Endpoint {
    /// Its name in the instance list.
    pub name: String,
    /// Its address, `ip:port`.
    pub addr: String,
    /// Its failure domain.
    pub domain: String,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// True once the instance list, a peer or the endpoint itself has reported it as leaving.
    pub leaving: bool,
    /// True while the instance list shows it as leaving.
    listed_leaving: bool,
    /// Last load report and the time at which it was received.
    pub report: Option<(Millis, Report)>,
    /// This instance's requests on it, by class.
    pub in_flight: IndexMap<String, u32>,
    /// Requests sent by this instance since the last load report.
    pub unreported: u32,
    /// This instance's requests on it whose content is suspected of crashing endpoints.
    pub suspects: u32,
    /// Its health.
    pub health: Health,
    /// Moving average of the gap between tokens, in milliseconds.
    pub gap: f64,
    samples: u32,
    faults: u32,
    ejections: u32,
    /// End of the last ejection; 0 when there was none.
    ejected_until: Millis,
}

impl Endpoint {
    /// A healthy endpoint without any reports or requests.
    pub fn new(name: &str, addr: &str, domain: &str, slots: u32) -> Self {
        Self {
            name: name.to_owned(),
            addr: addr.to_owned(),
            domain: domain.to_owned(),
            slots,
            leaving: false,
            listed_leaving: false,
            report: None,
            in_flight: IndexMap::new(),
            unreported: 0,
            suspects: 0,
            health: Health::Up,
            gap: 0.0,
            samples: 0,
            faults: 0,
            ejections: 0,
            ejected_until: 0,
        }
    }

    /// Applies the state in the instance list. When the list no longer shows the endpoint as
    /// leaving, the endpoint's own last report decides.
    pub fn apply_listing(&mut self, leaving: bool) {
        if leaving {
            self.leaving = true;
        } else if self.listed_leaving {
            self.leaving = self.report.as_ref().is_some_and(|(_, r)| r.draining);
        }
        self.listed_leaving = leaving;
    }

    /// Number of this instance's requests on it.
    pub fn running(&self) -> u32 {
        self.in_flight.values().sum()
    }

    /// True when new requests may be sent to it.
    pub fn available(&self) -> bool {
        let healthy = matches!(self.health, Health::Up | Health::Probing { busy: false, .. });
        healthy && !self.leaving
    }

    /// True when its last load report is older than [`REPORT_MAX_AGE`].
    pub fn silent(&self, now: Millis) -> bool {
        self.report.as_ref().is_some_and(|(at, _)| now.saturating_sub(*at) > REPORT_MAX_AGE)
    }

    /// Its current boot id; empty while unknown.
    pub fn boot(&self) -> &str {
        self.report.as_ref().map_or("", |(_, r)| r.boot.as_str())
    }

    /// Estimated requests on it: this instance's own and those of `peers`. Unless the peer data is
    /// `complete`, the last load report plus the requests sent since then is a lower bound.
    /// Reports lag, so they never lower the estimate.
    pub fn load(&self, peers: u32, complete: bool) -> u32 {
        let known = self.running() + peers;
        match &self.report {
            Some((_, r)) if !complete => known.max(r.running + r.waiting + self.unreported),
            _ => known,
        }
    }

    /// Load in the last report, without corrections; 0 when there is no report.
    pub fn reported_load(&self) -> u32 {
        self.report.as_ref().map_or(0, |(_, r)| r.running + r.waiting)
    }

    /// Records that a request of `class` was sent. It serves as the probe while the endpoint is
    /// probing.
    pub fn start(&mut self, class: &str, suspect: bool) {
        *self.in_flight.entry(class.to_owned()).or_default() += 1;
        self.unreported += 1;
        self.suspects += u32::from(suspect);
        if let Health::Probing { busy, .. } = &mut self.health {
            *busy = true;
        }
    }

    /// Records that a request of `class` ended.
    pub fn end(&mut self, class: &str, suspect: bool) {
        if let Some(n) = self.in_flight.get_mut(class) {
            invariant!(*n > 0, "endpoint {} ended more requests than it started", self.name);
            *n = n.saturating_sub(1);
        }
        self.suspects = self.suspects.saturating_sub(u32::from(suspect));
    }

    /// Applies a load report. A new boot id resets the leaving state and the token gap.
    pub fn apply_report(&mut self, now: Millis, report: Report) {
        if report.draining {
            self.leaving = true;
        }
        let restarted = !self.boot().is_empty() && self.boot() != report.boot;
        if restarted {
            self.leaving = report.draining;
            self.samples = 0;
        }
        self.unreported = 0;
        self.report = Some((now, report));
    }

    /// Records a successful request, which makes the endpoint healthy. Returns true when it was
    /// ejected or probing before.
    pub fn record_success(&mut self) -> bool {
        self.faults = 0;
        let restored = self.health != Health::Up;
        self.health = Health::Up;
        restored
    }

    /// Adds a sample of the token gap: the average over a few tokens, in milliseconds.
    pub fn record_gap(&mut self, gap: f64) {
        if self.samples == 0 {
            self.gap = gap;
        }
        update_average(&mut self.gap, gap);
        self.samples = self.samples.saturating_add(1);
    }

    /// Records a failed request. Returns true when the endpoint should be ejected.
    pub fn record_failure(&mut self) -> bool {
        self.faults += 1;
        matches!(self.health, Health::Probing { .. }) || self.faults >= FAULT_LIMIT
    }

    /// Ejects it from `now`, for a time that doubles with each ejection up to a maximum.
    pub fn eject(&mut self, now: Millis, cause: Cause) {
        let duration = (EJECT_BASE << self.ejections.min(8)).min(EJECT_MAX);
        self.ejections += 1;
        self.faults = 0;
        self.samples = 0;
        self.ejected_until = now + duration;
        self.health = Health::Ejected { until: now + duration, cause };
    }

    /// Multiplies the rest of the current ejection by `ratio`, so that the instances do not probe
    /// at the same time.
    pub fn extend_ejection(&mut self, now: Millis, ratio: f64) {
        if let Health::Ejected { until, .. } = &mut self.health {
            *until = now + (until.saturating_sub(now) as f64 * ratio) as u64;
            self.ejected_until = *until;
        }
    }

    /// Starts probing once an ejection is over. Resets the backoff once the endpoint is healthy
    /// and its last ejection is long past.
    pub fn tick(&mut self, now: Millis) {
        if self.health == Health::Up && now > self.ejected_until + EJECT_MAX {
            self.ejections = 0;
        }
        if let Health::Ejected { until, .. } = self.health
            && now >= until
        {
            self.health = Health::Probing { busy: false, since: now };
        }
    }

    /// Allows another probe after one that was inconclusive, for example because the caller
    /// disconnected.
    pub fn reset_probe(&mut self) {
        if let Health::Probing { busy, .. } = &mut self.health {
            *busy = false;
        }
    }

    /// Average token gap in milliseconds, once there are [`MIN_GAP_SAMPLES`] samples.
    pub fn token_gap(&self) -> Option<f64> {
        (self.samples >= MIN_GAP_SAMPLES).then_some(self.gap)
    }
}
