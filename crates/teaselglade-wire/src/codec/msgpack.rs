//! `MessagePack` with field names, between the system's own processes.
//!
//! Field names let a newer process add fields that an older one passes over.

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::{CodecError, Result};

/// Encodes a message as `MessagePack`.
///
/// # Errors
///
/// Fails where the message holds a value that the format cannot carry.
pub fn to_msgpack(message: &impl Serialize) -> Result<Bytes> {
    let bytes = rmp_serde::to_vec_named(message).map_err(|error| CodecError::new(&error))?;
    Ok(bytes.into())
}

/// Decodes a message from `MessagePack`.
///
/// # Errors
///
/// Fails where the bytes are no message of this type.
pub fn from_msgpack<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    rmp_serde::from_slice(bytes).map_err(|error| CodecError::new(&error))
}
