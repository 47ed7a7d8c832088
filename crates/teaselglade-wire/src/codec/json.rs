//! JSON codec, for messages to and from callers, backend servers and the platform.

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::{CodecError, Result};

/// Encodes a message as JSON.
///
/// # Errors
///
/// Fails if JSON cannot represent a value in the message.
///
/// # Examples
///
/// ```
/// use teaselglade_wire::TokenEvent;
/// use teaselglade_wire::codec::{from_json, to_json};
///
/// let event = TokenEvent { index: 0, text: "ring".to_owned() };
/// assert_eq!(from_json::<TokenEvent>(&to_json(&event)?)?, event);
/// # Ok::<(), teaselglade_wire::codec::CodecError>(())
/// ```
pub fn to_json(message: &impl Serialize) -> Result<Bytes> {
    let bytes = serde_json::to_vec(message).map_err(|error| CodecError::new(&error))?;
    Ok(bytes.into())
}

/// Decodes a message from JSON.
///
/// # Errors
///
/// Fails if the bytes are not a message of this type.
pub fn from_json<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    serde_json::from_slice(bytes).map_err(|error| CodecError::new(&error))
}
