//! Divides the slots of a service among classes and entry instances.
//!
//! Every instance computes the same quotas from the same demands, so no coordinator is needed.
//! Guaranteed shares are allocated first; the rest goes to the tiers in order of urgency and,
//! within a tier, by weight.

use indexmap::IndexMap;

use crate::mechanism::{self, Mechanism};

/// Interval at which the order changes in which instances get the slots left by an uneven division,
/// in milliseconds.
pub const ROTATION: u64 = 5_000;

/// Parameters of a class for the division of slots.
#[derive(Debug, Clone, PartialEq)]
pub struct Rule {
    /// Order of its tier; 0 is the most urgent.
    pub tier: u8,
    /// Weight against other classes of the same tier.
    pub weight: u32,
    /// Guaranteed fraction of the slots.
    pub share: f64,
}

/// Running and queued requests of one instance, by class.
pub type Demand = IndexMap<String, u32>;

/// Slots that one instance may use.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Quota {
    /// Slots by class.
    pub slots: IndexMap<String, u32>,
    /// Guaranteed slots by class; included in `slots`.
    pub floor: IndexMap<String, u32>,
    /// Slots that any class may use.
    pub spare: u32,
}

/// Divides `slots` among the classes of `rules` over the instances of `demand`.
///
/// `rotation` varies which instances get the slots left by an uneven division. The result has one
/// quota for each instance of `demand`, in the same order.
pub fn divide(
    slots: u32,
    rules: &IndexMap<String, Rule>,
    demand: &[Demand],
    rotation: u64,
) -> Vec<Quota> {
    let mut quotas = vec![Quota::default(); demand.len()];
    if demand.is_empty() {
        return quotas;
    }
    let total =
        |class: &str| demand.iter().map(|d| d.get(class).copied().unwrap_or(0)).sum::<u32>();
    let floors = floors(slots, rules, total);
    let allocations = allocate(slots, rules, &floors, total);
    for (i, class) in rules.keys().enumerate() {
        let wanted: Vec<u32> = demand.iter().map(|d| d.get(class).copied().unwrap_or(0)).collect();
        let class_rotation = rotation.wrapping_add(i as u64);
        for (row, n) in
            apportion(allocations[class], &wanted, class_rotation).into_iter().enumerate()
        {
            quotas[row].slots.insert(class.clone(), n);
        }
        for (row, n) in apportion(floors[class], &wanted, class_rotation).into_iter().enumerate() {
            quotas[row].floor.insert(class.clone(), n);
        }
    }
    let used: u32 = allocations.values().sum();
    let equal = vec![slots; demand.len()];
    for (row, n) in apportion(slots.saturating_sub(used), &equal, rotation).into_iter().enumerate()
    {
        quotas[row].spare = n;
    }
    quotas
}

/// Guaranteed slots of each class: at least one while any are left, and no more than its demand.
fn floors(
    slots: u32,
    rules: &IndexMap<String, Rule>,
    total: impl Fn(&str) -> u32,
) -> IndexMap<String, u32> {
    let mut left = slots;
    let mut order: Vec<(&String, &Rule)> = rules.iter().collect();
    order.sort_by_key(|(_, r)| r.tier);
    let mut map = IndexMap::new();
    for (class, rule) in order {
        let share = (f64::from(slots) * rule.share).floor() as u32;
        let wanted = if mechanism::on(Mechanism::Floors) { share.max(1) } else { 0 };
        let n = wanted.min(total(class)).min(left);
        left -= n;
        map.insert(class.clone(), n);
    }
    map
}

/// Slots of each class: its guaranteed slots, then a share of the rest by tier and weight.
fn allocate(
    slots: u32,
    rules: &IndexMap<String, Rule>,
    floors: &IndexMap<String, u32>,
    total: impl Fn(&str) -> u32,
) -> IndexMap<String, u32> {
    let mut allocations = floors.clone();
    let mut left = slots - floors.values().sum::<u32>().min(slots);
    let last = rules.values().map(|r| r.tier).max().unwrap_or(0);
    for tier in 0..=last {
        let mut unmet: Vec<(&str, u32, u32)> = rules
            .iter()
            .filter(|(_, r)| r.tier == tier)
            .map(|(c, r)| (c.as_str(), r.weight, total(c).saturating_sub(floors[c])))
            .collect();
        unmet.retain(|(_, _, want)| *want > 0);
        left = fill(left, &mut unmet, &mut allocations);
    }
    allocations
}

/// Weighted max-min fair division of `left` among the classes of `unmet`: name, weight and unmet
/// demand. Adds to `allocations` and returns the slots left when all demand is met.
fn fill(
    mut left: u32,
    unmet: &mut Vec<(&str, u32, u32)>,
    allocations: &mut IndexMap<String, u32>,
) -> u32 {
    while left > 0 && !unmet.is_empty() {
        let weights: u32 = unmet.iter().map(|(_, w, _)| w).sum();
        let round = left;
        for (class, weight, want) in unmet.iter_mut() {
            let part = (u64::from(round) * u64::from(*weight) / u64::from(weights)) as u32;
            let n = part.max(1).min(*want).min(left);
            allocations[*class] += n;
            *want -= n;
            left -= n;
        }
        unmet.retain(|(_, _, want)| *want > 0);
    }
    left
}

/// Divides `units` in proportion to `wanted` by the largest-remainder method, so that the queues of
/// a class drain at the same rate on all instances. No share exceeds its entry in `wanted`;
/// `rotation` varies the order among equal remainders.
pub fn apportion(units: u32, wanted: &[u32], rotation: u64) -> Vec<u32> {
    let total: u64 = wanted.iter().map(|w| u64::from(*w)).sum();
    if total <= u64::from(units) {
        return wanted.to_vec();
    }
    let exact = |w: u32| u64::from(units) * u64::from(w);
    let mut shares: Vec<u32> = wanted.iter().map(|w| (exact(*w) / total) as u32).collect();
    let left = units - shares.iter().sum::<u32>();
    let n = wanted.len() as u64;
    let mut order: Vec<usize> = (0..wanted.len()).filter(|i| shares[*i] < wanted[*i]).collect();
    order.sort_by_key(|i| {
        let rotated = (*i as u64 + n - rotation % n) % n;
        (std::cmp::Reverse(exact(wanted[*i]) % total), rotated)
    });
    for i in order.into_iter().take(left as usize) {
        shares[i] += 1;
    }
    shares
}
