//! Which instances read the platform themselves. The others take their copies from these, so that
//! calls to the platform don't grow with the fleet.

use xxhash_rust::xxh3::xxh3_64;

/// Instances that read. Each can fail or be cut off alone, and a whole failure domain at once.
pub const READERS: usize = 9;

/// True when `name` is to read, where `connected` are the other instances that are alive and reach
/// the platform as far as known. Views may differ: then some more read, or the next ones soon.
pub fn is_reader<'a>(name: &str, connected: impl Iterator<Item = &'a str>) -> bool {
    let own = rank(name);
    connected.filter(|other| rank(other) < own).take(READERS).count() < READERS
}

fn rank(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}
