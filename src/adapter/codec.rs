//! MessagePack encoding of bodies, datagrams and log records, with `rmp-serde`.

use serde::Serialize;
use serde::de::DeserializeOwned;

/// Media type of a MessagePack body.
pub const MSGPACK: &str = "application/msgpack";

/// Encodes structs as maps with field names, so that processes whose versions differ by a field
/// can read each other's values.
pub fn pack<T: Serialize>(value: &T) -> Vec<u8> {
    rmp_serde::to_vec_named(value).unwrap_or_else(|e| {
        crate::invariants::record_violation(&format!("could not encode value as MessagePack: {e}"));
        Vec::new()
    })
}

/// Encodes structs as arrays without field names, to keep frequent datagrams small. Sender and
/// receiver must agree on the fields and their order.
pub fn pack_positional<T: Serialize>(value: &T) -> Vec<u8> {
    rmp_serde::to_vec(value).unwrap_or_else(|e| {
        crate::invariants::record_violation(&format!("could not encode value as MessagePack: {e}"));
        Vec::new()
    })
}

/// Decodes a value that [`pack`] or [`pack_positional`] encoded.
pub fn unpack<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, rmp_serde::decode::Error> {
    rmp_serde::from_slice(bytes)
}
