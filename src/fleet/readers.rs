//! Which instances read the platform themselves. The others take their copies from these, so that
//! calls to the platform don't grow with the fleet.

use xxhash_rust::xxh3::xxh3_64;

/// Instances that read. Each can fail or be cut off alone, and a whole failure domain at once.
pub const READERS: usize = 9;

/// True when `me` is to read, where `reaching` are the other instances that are alive and reach
/// the platform as far as known. Views may differ: then some more read, or the next ones soon.
pub fn reads<'a>(me: &str, reaching: impl Iterator<Item = &'a str>) -> bool {
    let own = draw(me);
    reaching.filter(|name| draw(name) < own).take(READERS).count() < READERS
}

fn draw(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}
