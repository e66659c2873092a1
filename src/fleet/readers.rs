//! Selects the instances that read the platform's topics themselves. The others copy from these,
//! so that the number of calls to the platform does not grow with the fleet.

use xxhash_rust::xxh3::xxh3_64;

/// Number of instances of the fleet that read: single readers, or all in one failure domain, may fail or be
/// cut off at once.
pub const READERS: usize = 9;

/// True when fewer than `readers` other instances rank below `name`. `connected` are the other
/// instances that are known to be alive and connected to the platform. Instances may see different
/// sets: then a few more than `readers` read, or the next in rank start a little later.
pub fn is_reader<'a>(name: &str, connected: impl Iterator<Item = &'a str>, readers: usize) -> bool {
    let own = rank(name);
    connected.filter(|other| rank(other) < own).take(readers).count() < readers
}

/// Rank of an instance, the same on every instance.
fn rank(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}
