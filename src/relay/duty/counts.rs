//! Encoding of the datagrams with usage counts.

use crate::adapter::codec;
use crate::policy::usage::Counts;

/// First byte of these datagrams. MessagePack never uses it, so no heartbeat begins with it.
pub const MARKER: u8 = 0xc1;

/// Encodes the counts of a window.
pub fn encode(counts: &Counts) -> Vec<u8> {
    let mut out = vec![MARKER];
    out.extend_from_slice(&codec::pack_positional(counts));
    out
}

/// Decodes a datagram that begins with [`MARKER`]. The error says what is wrong with it.
pub fn decode(bytes: &[u8]) -> Result<Counts, String> {
    let content = bytes.get(1..).unwrap_or_default();
    codec::unpack(content).map_err(|e| e.to_string())
}
