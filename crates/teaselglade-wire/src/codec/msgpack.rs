//! `MessagePack` codec, for messages between teaselglade processes.
//!
//! Structs are encoded with field names, so that an older process ignores fields that a newer one
//! adds.

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::{CodecError, Result};

/// Encodes a message as `MessagePack`.
///
/// # Errors
///
/// Fails if the format cannot represent a value in the message.
pub fn to_msgpack(message: &impl Serialize) -> Result<Bytes> {
    let bytes = rmp_serde::to_vec_named(message).map_err(|error| CodecError::new(&error))?;
    Ok(bytes.into())
}

/// Decodes a message from `MessagePack`.
///
/// # Errors
///
/// Fails if the bytes are not a message of this type.
pub fn from_msgpack<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    rmp_serde::from_slice(bytes).map_err(|error| CodecError::new(&error))
}
