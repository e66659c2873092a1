//! Division of a number of endpoints among failure domains.

use indexmap::IndexMap;

use super::Scaling;

/// Minimum share of a failure domain in the capacity, as a fraction of an equal share: the loss of
/// another domain must leave enough.
const MIN_SHARE: f64 = 0.6;

/// A failure domain as the division sees it.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) struct Part {
    /// Share of the domain, 0 to 1.
    pub(super) share: f64,
    /// Endpoints of the kind that is divided.
    pub(super) count: u32,
    /// Bounds of that number.
    pub(super) bounds: (u32, u32),
}

/// Share of each failure domain: in inverse proportion to its price, and not below a minimum.
pub(super) fn shares(scaling: &Scaling) -> IndexMap<String, f64> {
    let inverse: f64 = scaling.prices.values().map(|p| 1.0 / p).sum();
    let least = MIN_SHARE / scaling.prices.len().max(1) as f64;
    let raised = |p: &f64| (1.0 / p / inverse).max(least);
    let total: f64 = scaling.prices.values().map(raised).sum();
    scaling.prices.iter().map(|(domain, p)| (domain.clone(), raised(p) / total)).collect()
}

/// Adds up to `n` endpoints, each where there are fewest for the share. Returns how many found no
/// place.
pub(super) fn grow(parts: &mut [Part], n: u32) -> u32 {
    for left in (1..=n).rev() {
        let open = parts.iter_mut().filter(|p| p.count < p.bounds.1 && p.share > 0.0);
        let key = |p: &&mut Part| f64::from(p.count + 1) / p.share;
        let Some(part) = open.min_by(|a, b| key(a).total_cmp(&key(b))) else { return left };
        part.count += 1;
    }
    0
}

/// Removes up to `n` endpoints, each where there are most for the share.
pub(super) fn shrink(parts: &mut [Part], n: u32) {
    for _ in 0..n {
        let open = parts.iter_mut().filter(|p| p.count > p.bounds.0);
        let key = |p: &&mut Part| f64::from(p.count) / p.share.max(f64::MIN_POSITIVE);
        let Some(part) = open.max_by(|a, b| key(a).total_cmp(&key(b))) else { return };
        part.count -= 1;
    }
}
