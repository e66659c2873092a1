//! `rmp-serde` bodies between our processes, and hex.

use serde::Serialize;
use serde::de::DeserializeOwned;

/// Media type of a MessagePack body.
pub const MSGPACK: &str = "application/msgpack";

/// Encodes with field names, so that versions can differ by a field.
pub fn pack<T: Serialize>(value: &T) -> Vec<u8> {
    rmp_serde::to_vec_named(value).unwrap_or_else(|e| {
        crate::invariants::record_violation(&format!("value does not encode: {e}"));
        Vec::new()
    })
}

/// Encodes without field names, for datagrams that are sent often. Both ends must agree on the
/// fields and their order.
pub fn pack_rows<T: Serialize>(value: &T) -> Vec<u8> {
    rmp_serde::to_vec(value).unwrap_or_else(|e| {
        crate::invariants::record_violation(&format!("value does not encode: {e}"));
        Vec::new()
    })
}

/// Decodes what [`pack`] or [`pack_rows`] made.
pub fn unpack<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, rmp_serde::decode::Error> {
    rmp_serde::from_slice(bytes)
}
