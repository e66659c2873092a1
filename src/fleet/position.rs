//! Positions of records in a topic of the platform. Offsets are comparable only within one era: when
//! the platform is restored from a copy, a new era begins and offsets are given out again. A position has
//! the era in its high bits and the offset in its low ones, so that later positions are greater.

/// Number of bits of the offset. With the bits of the era, positions are below 2^53: they are exact in
/// any JSON document.
const OFFSET_BITS: u32 = 40;
/// Highest era that positions distinguish.
pub const MAX_ERA: u64 = (1 << 13) - 1;

/// The position of an offset in an era.
pub fn at(era: u64, offset: u64) -> u64 {
    era.min(MAX_ERA) << OFFSET_BITS | offset
}

/// Era of a position.
pub fn era(position: u64) -> u64 {
    position >> OFFSET_BITS
}

/// Offset of a position in its era.
pub fn offset(position: u64) -> u64 {
    position & ((1 << OFFSET_BITS) - 1)
}
