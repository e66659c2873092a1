//! Positions of records in a topic of the platform. Offsets are comparable only within one history: when
//! the platform is restored from a copy, a new era begins and offsets are given out again. A position has
//! the era in its high bits and the offset in its low ones, so that later positions are greater.
//!
//! A log may also go back while the platform states the same era, or none. Instances count that
//! themselves: each time begins a generation of the era, whose number is between era and offset.

/// Number of bits of the offset. With those of the generation and of the era, positions are below 2^53:
/// they are exact in any JSON document.
const OFFSET_BITS: u32 = 35;
/// Number of bits of the generation.
const GENERATION_BITS: u32 = 5;
/// Highest generation of an era that positions distinguish.
pub const MAX_GENERATION: u64 = (1 << GENERATION_BITS) - 1;
/// Highest era that positions distinguish.
pub const MAX_ERA: u64 = (1 << 13) - 1;

/// The position of an offset in the first generation of an era.
pub fn at(era: u64, offset: u64) -> u64 {
    era.min(MAX_ERA) << (GENERATION_BITS + OFFSET_BITS) | offset
}

/// Era of a position.
pub fn era(position: u64) -> u64 {
    position >> (GENERATION_BITS + OFFSET_BITS)
}

/// Generation of a position in its era.
pub fn generation(position: u64) -> u64 {
    history(position) & MAX_GENERATION
}

/// Era and generation of a position: offsets of one history are comparable.
pub fn history(position: u64) -> u64 {
    position >> OFFSET_BITS
}

/// Offset of a position in its history.
pub fn offset(position: u64) -> u64 {
    position & ((1 << OFFSET_BITS) - 1)
}

/// A position with the offset of `position` in the history of `other`.
pub fn moved_to(other: u64, position: u64) -> u64 {
    history(other) << OFFSET_BITS | offset(position)
}

/// End of a full read as a position that compares with `since`, the end of the replica before the read
/// began. The platform's responses are linearizable: one that ends earlier in the same era shows that
/// its log went back, so it begins a generation.
pub fn end_of_read(since: u64, end: u64) -> u64 {
    if era(end) > era(since) {
        return end;
    }
    let same = moved_to(since, end);
    let went_back = same < since && generation(since) < MAX_GENERATION;
    if went_back { same + (1 << OFFSET_BITS) } else { same }
}
