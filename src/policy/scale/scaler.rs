//! Decides on orders from the need of each service and what is listed of its endpoints.

use indexmap::IndexMap;

use super::demand::{Demand, ServiceDemand, Stock};
use super::line::Line;
use super::need::{History, Need};
use super::split::{self, Part};
use super::{Order, Outcome, Supply};
use crate::adapter::clock::Millis;
use crate::mechanism::{self, Mechanism};

/// Maximum age of the figures, in milliseconds; with older ones, everything stays as it is.
const MAX_AGE_MS: u64 = 3_000;
/// Maximum age of the endpoint list, in milliseconds.
const MAX_LIST_AGE_MS: u64 = 5_000;
/// Minimum fraction of the instances whose figures are known.
const MIN_INSTANCES: f64 = 0.7;
/// Time for which demand is observed before regular endpoints are exchanged for reclaimable ones, in
/// milliseconds. A shortage is met at once.
const WARMUP_MS: u64 = 5_000;
/// Fraction and number of endpoints by which a need differs before it is followed: each order is
/// priced.
const BAND: f64 = 0.06;
const BAND_COUNT: f64 = 1.0;
/// The latter as a fraction, for services with few endpoints.
const BAND_SMALL: f64 = 0.15;
/// Reclaimable endpoints ordered above the need, as a fraction of them, so that a slow rise takes few
/// orders.
const RESERVE: f64 = 0.04;
/// Maximum fraction of the regular endpoints that are given up in one step.
const REGULAR_STEP: f64 = 0.16;
/// Maximum fraction of the reclaimable endpoints that are given up in one step. Cheaper than the
/// regular ones, they serve the next burst.
const RECLAIMABLE_STEP: f64 = 0.2;
/// Minimum time between two steps down, in milliseconds.
const STEP_MS: u64 = 4_000;
/// Fraction of its share below which a failure domain gets reclaimable endpoints although there are
/// enough in others.
const MIN_BALANCE: f64 = 0.6;
/// Minimum time between two orders for a higher base, in milliseconds: the need that it follows is a
/// mean over some time.
const BASE_MS: u64 = 8_000;
/// Maximum orders in one plan.
const MAX_ORDERS: usize = 24;
/// First pause after too many calls, in milliseconds; it doubles each time.
const LIMITED_MS: u64 = 1_000;
/// Maximum number of doublings of that pause.
const MAX_LIMITED: u32 = 3;

closed! {
    /// Why endpoints are ordered.
    pub enum Reason {
        /// There are fewer than needed.
        Short,
        /// There are more than needed for some time.
        Surplus,
        /// The last order shows no effect.
        Repeat,
    }
}

impl Reason {
    /// Name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Short => "short",
            Self::Surplus => "surplus",
            Self::Repeat => "repeat",
        }
    }
}

/// What an order was decided from; endpoints of both kinds in all failure domains.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Inputs {
    /// Endpoints needed for the demand now.
    pub now: f64,
    /// Endpoints wanted, with headroom.
    pub wanted: f64,
    /// The most that were wanted in the last seconds.
    pub held: f64,
    /// Regular endpoints that must stay.
    pub base: f64,
    /// Part of the assumed work that an endpoint takes, by the first events that came late.
    pub fit: f64,
    /// Endpoints that take work.
    pub serving: u32,
    /// Age of the figures, in milliseconds.
    pub age: u64,
    /// Instances whose figures are included.
    pub instances: u32,
}

/// An order and what led to it.
#[derive(Debug, Clone, PartialEq)]
pub struct Planned {
    /// The order.
    pub order: Order,
    /// Number ordered before.
    pub from: u32,
    /// Why.
    pub reason: Reason,
    /// What it was decided from.
    pub inputs: Inputs,
}

/// State of one service.
#[derive(Debug, Default)]
struct Service {
    history: History,
    need: Need,
    /// Time of the last figures.
    figures_at: Millis,
    lines: IndexMap<(String, Supply), Line>,
    /// Time of the last order of more regular endpoints.
    raised_at: Millis,
    /// Time of the last step down, by kind.
    lowered_at: IndexMap<Supply, Millis>,
}

/// Decides on orders for all services.
#[derive(Debug, Default)]
pub struct Scaler {
    /// Orders of earlier holders.
    recorded: IndexMap<(String, String, Supply), u32>,
    services: IndexMap<String, Service>,
    /// Time until which nothing is ordered, as there were too many calls.
    limited_until: Millis,
    /// Rejections for too many calls in a row.
    limits: u32,
    planned: Vec<Planned>,
}

impl Scaler {
    /// Continues from the newest orders of earlier holders.
    pub fn new(recorded: Vec<Order>) -> Self {
        let key = |o: Order| ((o.service, o.domain, o.kind), o.desired);
        Self { recorded: recorded.into_iter().map(key).collect(), ..Self::default() }
    }

    /// The orders to be sent now. Each of them counts as sent, and is answered by
    /// [`Scaler::answered`].
    pub fn plan(&mut self, now: Millis, demand: &Demand) -> Vec<Order> {
        self.planned = self.decide(now, demand);
        self.planned.iter().map(|p| p.order.clone()).collect()
    }

    /// The orders of the last plan, with what led to them.
    pub fn planned(&self) -> &[Planned] {
        &self.planned
    }

    fn decide(&mut self, now: Millis, demand: &Demand) -> Vec<Planned> {
        let old = now > demand.at + MAX_AGE_MS || demand.list_age > MAX_LIST_AGE_MS;
        if old || !mechanism::on(Mechanism::Scaling) {
            return Vec::new();
        }
        self.services.retain(|name, _| demand.services.contains_key(name));
        let mut planned = Vec::new();
        for (name, figures) in &demand.services {
            let service = self.services.entry(name.clone()).or_default();
            service.take_over(name, figures, &mut self.recorded);
            service.observe(now, demand, figures);
            if now < self.limited_until || service.figures_at == 0 {
                continue;
            }
            let age = now.saturating_sub(service.figures_at);
            let room = MAX_ORDERS.saturating_sub(planned.len());
            planned.extend(service.plan(now, name, figures, age, room));
        }
        planned
    }

    /// Records the outcome of an order.
    pub fn answered(&mut self, now: Millis, order: &Order, outcome: Outcome) {
        match outcome {
            Outcome::Limited => {
                self.limited_until = now + (LIMITED_MS << self.limits.min(MAX_LIMITED));
                self.limits += 1;
            }
            Outcome::Accepted => self.limits = 0,
            Outcome::Unavailable | Outcome::Unknown => {}
        }
        let key = (order.domain.clone(), order.kind);
        let service = self.services.get_mut(&order.service);
        if let Some(line) = service.and_then(|s| s.lines.get_mut(&key)) {
            line.answered(now, outcome);
        }
    }
}

impl Service {
    /// Adds lines for failure domains that have none yet: with what was ordered there, or else with
    /// what is listed.
    fn take_over(
        &mut self,
        name: &str,
        figures: &ServiceDemand,
        recorded: &mut IndexMap<(String, String, Supply), u32>,
    ) {
        let scaling = &figures.scaling;
        let domains = scaling.prices.keys();
        self.lines.retain(|(domain, _), _| scaling.prices.contains_key(domain));
        for (domain, kind) in domains.flat_map(|d| Supply::ALL.map(|kind| (d, kind))) {
            let key = (domain.clone(), kind);
            let offered = kind == Supply::Regular || scaling.reclaimable_price.is_some();
            if !offered || self.lines.contains_key(&key) {
                continue;
            }
            let ordered = recorded.shift_remove(&(name.to_owned(), domain.clone(), kind));
            self.lines.insert(key, ordered.map_or_else(Line::unordered, Line::new));
        }
    }

    /// Takes note of the list and of the figures, if they are new and those of enough instances.
    fn observe(&mut self, now: Millis, demand: &Demand, figures: &ServiceDemand) {
        for (key, line) in &mut self.lines {
            let stock = figures.stock.get(key).copied().unwrap_or_default();
            if line.observe(now, figures.scaling.boot, stock) {
                let Stock { ready, leaving, .. } = stock;
                tracing::info!(domain = key.0, ready, leaving, "scaling: endpoints are reclaimed");
            }
        }
        let known = f64::from(figures.figures.instances);
        // Before the first requests the endpoint list may be incomplete, and nothing is needed.
        let idle = self.figures_at == 0 && figures.figures.classes.iter().all(|c| c.arrived <= 0.0);
        if !idle
            && demand.at > self.figures_at
            && known >= MIN_INSTANCES * f64::from(demand.instances)
        {
            self.figures_at = demand.at;
            self.need = self.history.update(demand.at, figures);
        }
    }

    /// Orders of a service, at most `room`, those for more endpoints first.
    fn plan(
        &mut self,
        now: Millis,
        name: &str,
        figures: &ServiceDemand,
        age: u64,
        room: usize,
    ) -> Vec<Planned> {
        let targets = self.targets(now, figures);
        let inputs = Inputs {
            now: self.need.now,
            wanted: self.need.wanted,
            held: self.need.held,
            base: self.need.base,
            fit: self.need.fit,
            serving: self.lines.values().map(Line::serving).sum(),
            age,
            instances: figures.figures.instances,
        };
        let mut due: Vec<(Reason, &(String, Supply), u32, &mut Line)> = Vec::new();
        for (key, line) in &mut self.lines {
            let target = targets.get(key).copied().unwrap_or(line.desired);
            let reason = match target.cmp(&line.desired) {
                std::cmp::Ordering::Greater => Reason::Short,
                std::cmp::Ordering::Less => Reason::Surplus,
                std::cmp::Ordering::Equal if line.must_repeat(now) => Reason::Repeat,
                std::cmp::Ordering::Equal => continue,
            };
            if line.is_open(now) {
                due.push((reason, key, target, line));
            }
        }
        due.sort_by_key(|(reason, ..)| *reason == Reason::Surplus);
        due.truncate(room);
        let mut planned = Vec::new();
        for (reason, (domain, kind), desired, line) in due {
            if reason == Reason::Surplus {
                self.lowered_at.insert(*kind, now);
            }
            if reason == Reason::Short && *kind == Supply::Regular {
                self.raised_at = now;
            }
            let from = line.order(now, desired);
            let (service, domain) = (name.to_owned(), domain.clone());
            let order = Order { service, domain, kind: *kind, desired };
            planned.push(Planned { order, from, reason, inputs });
        }
        planned
    }

    /// Number of endpoints to order, by failure domain and kind.
    fn targets(&self, now: Millis, figures: &ServiceDemand) -> IndexMap<(String, Supply), u32> {
        let expected = |kind| self.sum(kind, |l| l.expected(now));
        let need = &self.need;
        let mut regular = self.parts(now, Supply::Regular, figures);
        let mut cheap = self.parts(now, Supply::Reclaimable, figures);
        let total = expected(Supply::Regular) + expected(Supply::Reclaimable);
        let short = exceeds(need.wanted, total);
        let warm = need.observed >= WARMUP_MS;
        let offered = figures.scaling.reclaimable_price.is_some();
        let rested = self.raised_at + BASE_MS <= now;
        if warm && rested && exceeds(need.base, sum(&regular)) {
            let n = ceil(need.base - sum(&regular));
            split::grow(&mut regular, n);
            limit_by(&mut cheap, &regular, figures.scaling.max);
        }
        let kept = if offered { need.base.min(sum(&regular)) } else { sum(&regular) };
        let cheap_wanted = need.wanted - kept;
        let mut missing = if short { ceil(need.wanted - total) } else { 0 };
        if offered && (warm || short) && exceeds(cheap_wanted, expected(Supply::Reclaimable)) {
            let n = ceil(cheap_wanted * (1.0 + RESERVE) - expected(Supply::Reclaimable));
            let placed = n - split::grow(&mut cheap, n);
            missing = missing.saturating_sub(placed);
        }
        if offered && warm {
            self.balance(now, figures, &mut cheap);
        }
        limit_by(&mut regular, &cheap, figures.scaling.max);
        split::grow(&mut regular, missing);
        self.lower(now, kept, &mut regular, &mut cheap);
        self.keep_minimum(figures, &mut regular, &cheap);
        let mut targets = IndexMap::new();
        for (kind, parts) in [(Supply::Regular, regular), (Supply::Reclaimable, cheap)] {
            let keys = self.lines.keys().filter(|(_, k)| *k == kind);
            targets.extend(keys.cloned().zip(parts.iter().map(|p| p.count)));
        }
        targets
    }

    /// Takes a step down, where the need of the last seconds leaves a surplus. What is not ready yet
    /// replaces nothing.
    fn lower(&self, now: Millis, kept: f64, regular: &mut [Part], cheap: &mut [Part]) {
        let (need, serving) = (&self.need, |kind| self.sum(kind, Line::serving));
        let may_lower = |kind, parts: &[Part]| {
            let due = self.lowered_at.get(&kind).is_none_or(|at| now >= at + STEP_MS);
            due && need.is_settled() && sum(parts) <= self.sum(kind, |l| l.desired)
        };
        let (all, others) = (serving(Supply::Regular), serving(Supply::Reclaimable));
        let least = if cheap.is_empty() { need.held } else { need.base.max(need.held - others) };
        if may_lower(Supply::Regular, regular) && exceeds(all, least) {
            let step = (all * REGULAR_STEP).max(1.0);
            split::shrink(regular, (all - least).min(step) as u32);
        }
        let least = (need.held - kept.min(all)) * (1.0 + RESERVE);
        if may_lower(Supply::Reclaimable, cheap) && exceeds(others, least) {
            let step = (others * RECLAIMABLE_STEP).max(1.0);
            split::shrink(cheap, (others - least).min(step) as u32);
        }
    }

    /// Gives reclaimable endpoints to failure domains that have far fewer than their share.
    fn balance(&self, now: Millis, figures: &ServiceDemand, cheap: &mut [Part]) {
        let shares = split::shares(&figures.scaling);
        let all = sum(cheap);
        let lines = self.lines.iter().filter(|((_, kind), _)| *kind == Supply::Reclaimable);
        for (((domain, _), line), part) in lines.zip(cheap) {
            let share = shares.get(domain).copied().unwrap_or_default() * all;
            if !line.is_blocked(now) && f64::from(part.count) < MIN_BALANCE * share {
                part.count = (share as u32).min(part.bounds.1).max(part.count);
            }
        }
    }

    /// Orders at least the minimum of each failure domain.
    fn keep_minimum(&self, figures: &ServiceDemand, regular: &mut [Part], cheap: &[Part]) {
        let cheap = cheap.iter().map(|p| p.count).chain(std::iter::repeat(0));
        for (part, cheap) in regular.iter_mut().zip(cheap) {
            part.count = part.count.max(figures.scaling.min.saturating_sub(cheap));
        }
    }

    /// The failure domains of one kind, in the order of the lines.
    fn parts(&self, now: Millis, kind: Supply, figures: &ServiceDemand) -> Vec<Part> {
        let shares = split::shares(&figures.scaling);
        let scaling = &figures.scaling;
        let part = |domain: &String, line: &Line| {
            let others = self.lines.iter().filter(|((d, k), _)| d == domain && *k != kind);
            let other: u32 = others.map(|(_, l)| l.desired).sum();
            let most = scaling.max.saturating_sub(other);
            let most = if line.is_blocked(now) { most.min(line.desired) } else { most };
            Part {
                share: shares.get(domain).copied().unwrap_or_default(),
                count: line.desired,
                bounds: (scaling.min.saturating_sub(other), most),
            }
        };
        let lines = self.lines.iter().filter(|((_, k), _)| *k == kind);
        lines.map(|((domain, _), line)| part(domain, line)).collect()
    }

    fn sum(&self, kind: Supply, count: impl Fn(&Line) -> u32) -> f64 {
        let lines = self.lines.iter().filter(|((_, k), _)| *k == kind);
        f64::from(lines.map(|(_, line)| count(line)).sum::<u32>())
    }
}

fn sum(parts: &[Part]) -> f64 {
    f64::from(parts.iter().map(|p| p.count).sum::<u32>())
}

/// Limits one kind to what the other leaves of the maximum of each failure domain.
fn limit_by(parts: &mut [Part], others: &[Part], max: u32) {
    for (part, other) in parts.iter_mut().zip(others) {
        part.bounds.1 = part.bounds.1.min(max.saturating_sub(other.count));
    }
}

fn ceil(number: f64) -> u32 {
    number.max(0.0).ceil() as u32
}

/// True if a number is greater than another by enough to act on it.
fn exceeds(number: f64, other: f64) -> bool {
    number > other * (1.0 + BAND) + BAND_COUNT.min(BAND_SMALL * other)
}
