//! What an instance knows of one endpoint: membership, load, speed and health.

use indexmap::IndexMap;

use super::length::blend;
use crate::adapter::clock::Millis;

/// Faults in a row after which an endpoint is ejected.
const FAULT_LIMIT: u32 = 3;
/// First ejection in milliseconds; each further one doubles it.
const EJECT_BASE: u64 = 2_000;
/// Longest ejection in milliseconds.
const EJECT_MAX: u64 = 60_000;
/// Reports older than this in milliseconds make an endpoint silent.
pub const REPORT_MAX_AGE: u64 = 3_000;
/// Ratio to the median token gap from which an endpoint is a straggler.
pub const SLOW_RATIO: f64 = 2.5;
/// Samples needed before the speed of an endpoint counts.
pub const MIN_GAP_SAMPLES: u32 = 5;

/// A load report, as the endpoint sent it.
#[derive(Debug, Clone, Default, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(default)]
pub struct Report {
    /// Changes at each restart of the endpoint.
    pub boot: String,
    /// Requests in its batch.
    pub running: u32,
    /// Requests in its own queue.
    pub waiting: u32,
    /// True when it takes no new work.
    pub draining: bool,
    /// Age of these numbers in milliseconds.
    pub age: u64,
}

/// Why an endpoint was ejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// Several faults in a row, or a crash.
    Faults,
    /// Far slower than the others.
    Slow,
}

/// Health as found from outcomes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// Takes work.
    Up,
    /// Takes no work until the time given.
    Ejected { until: Millis, cause: Cause },
    /// Takes one request to find out, since the time given.
    Probing { busy: bool, since: Millis },
}

/// One endpoint of a service.
#[derive(Debug, Clone)]
pub struct Endpoint {
    /// Name in the instance list.
    pub name: String,
    /// Address, `ip:port`.
    pub addr: String,
    /// Failure domain.
    pub domain: String,
    /// Requests it runs at a time.
    pub slots: u32,
    /// True once the instance list, a peer or the endpoint itself says that it leaves.
    pub leaving: bool,
    /// True while the instance list says that it leaves.
    listed_leaving: bool,
    /// Last report and the time it was received.
    pub report: Option<(Millis, Report)>,
    /// Own requests on it by class.
    pub in_flight: IndexMap<String, u32>,
    /// Own requests sent since the last report.
    pub unreported: u32,
    /// Suspect contents that run on it now.
    pub suspects: u32,
    /// Health.
    pub health: Health,
    /// Average gap between tokens in milliseconds.
    pub gap: f64,
    samples: u32,
    faults: u32,
    ejections: u32,
    /// End of the last ejection.
    ejected_until: Millis,
}

impl Endpoint {
    /// An endpoint as it was first listed.
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

    /// The instance list says whether it leaves. Where the list takes its word back, the
    /// endpoint's own word counts.
    pub fn apply_listing(&mut self, leaving: bool) {
        if leaving {
            self.leaving = true;
        } else if self.listed_leaving {
            self.leaving = self.report.as_ref().is_some_and(|(_, r)| r.draining);
        }
        self.listed_leaving = leaving;
    }

    /// Own requests on it.
    pub fn running(&self) -> u32 {
        self.in_flight.values().sum()
    }

    /// True when new work may go to it.
    pub fn available(&self) -> bool {
        let healthy = matches!(self.health, Health::Up | Health::Probing { busy: false, .. });
        healthy && !self.leaving
    }

    /// True when its reports have stopped.
    pub fn silent(&self, now: Millis) -> bool {
        self.report.as_ref().is_some_and(|(at, _)| now.saturating_sub(*at) > REPORT_MAX_AGE)
    }

    /// Identity of its present life, empty while unknown.
    pub fn boot(&self) -> &str {
        self.report.as_ref().map_or("", |(_, r)| r.boot.as_str())
    }

    /// Expected requests on it: own work and `peers`' work; where the peers' word is not whole,
    /// at least the report with own work since. Reports lag, so they never lower the figure.
    pub fn load(&self, peers: u32, complete: bool) -> u32 {
        let known = self.running() + peers;
        match &self.report {
            Some((_, r)) if !complete => known.max(r.running + r.waiting + self.unreported),
            _ => known,
        }
    }

    /// Load as last reported, with nothing corrected.
    pub fn reported_load(&self) -> u32 {
        self.report.as_ref().map_or(0, |(_, r)| r.running + r.waiting)
    }

    /// Counts a request sent to it.
    pub fn start(&mut self, class: &str, suspect: bool) {
        *self.in_flight.entry(class.to_owned()).or_default() += 1;
        self.unreported += 1;
        self.suspects += u32::from(suspect);
        if let Health::Probing { busy, .. } = &mut self.health {
            *busy = true;
        }
    }

    /// Counts a request that ended.
    pub fn end(&mut self, class: &str, suspect: bool) {
        if let Some(n) = self.in_flight.get_mut(class) {
            invariant!(*n > 0, "endpoint {} ends more than it started", self.name);
            *n = n.saturating_sub(1);
        }
        self.suspects = self.suspects.saturating_sub(u32::from(suspect));
    }

    /// Takes in a report.
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

    /// A request went well. Returns true when that ended an ejection.
    pub fn record_success(&mut self) -> bool {
        self.faults = 0;
        let restored = self.health != Health::Up;
        self.health = Health::Up;
        restored
    }

    /// Takes in the average gap of a few tokens, in milliseconds.
    pub fn record_gap(&mut self, gap: f64) {
        if self.samples == 0 {
            self.gap = gap;
        }
        blend(&mut self.gap, gap);
        self.samples = self.samples.saturating_add(1);
    }

    /// A request failed. Returns true when the endpoint should be ejected.
    pub fn record_failure(&mut self) -> bool {
        self.faults += 1;
        matches!(self.health, Health::Probing { .. }) || self.faults >= FAULT_LIMIT
    }

    /// Takes it out of use for a while.
    pub fn eject(&mut self, now: Millis, cause: Cause) {
        let duration = (EJECT_BASE << self.ejections.min(8)).min(EJECT_MAX);
        self.ejections += 1;
        self.faults = 0;
        self.samples = 0;
        self.ejected_until = now + duration;
        self.health = Health::Ejected { until: now + duration, cause };
    }

    /// Makes the present ejection longer by a ratio, so that instances don't probe together.
    pub fn extend_ejection(&mut self, now: Millis, ratio: f64) {
        if let Health::Ejected { until, .. } = &mut self.health {
            *until = now + (until.saturating_sub(now) as f64 * ratio) as u64;
            self.ejected_until = *until;
        }
    }

    /// Lets it be probed once its ejection is over; forgets ejections after a good while.
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

    /// A probe ended without a verdict, such as a caller's hang-up.
    pub fn reset_probe(&mut self) {
        if let Health::Probing { busy, .. } = &mut self.health {
            *busy = false;
        }
    }

    /// Average token gap, once there are enough samples.
    pub fn token_gap(&self) -> Option<f64> {
        (self.samples >= MIN_GAP_SAMPLES).then_some(self.gap)
    }
}
