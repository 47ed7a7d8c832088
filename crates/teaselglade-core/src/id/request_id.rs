//! Id of one request.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use uuid::{Builder, Uuid};

use crate::time::Timestamp;

/// Error returned when a request id cannot be parsed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestIdError {
    text: String,
}

impl fmt::Display for RequestIdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "`{}` is not a request id; expected a UUID", self.text)
    }
}

impl std::error::Error for RequestIdError {}

/// Fleet-wide unique id of one accepted request, ordered by time (UUID version 7).
///
/// # Examples
///
/// ```
/// use teaselglade_core::id::RequestId;
/// use teaselglade_core::time::Timestamp;
///
/// let id = RequestId::generate(Timestamp::from_millis(1_000), [7; 10]);
/// assert_eq!(id.to_string().parse(), Ok(id));
/// assert_eq!(id.created(), Timestamp::from_millis(1_000));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestId(Uuid);

impl RequestId {
    /// Creates an id from the current time and ten random bytes.
    #[must_use]
    pub fn generate(now: Timestamp, random: [u8; 10]) -> Self {
        Self(Builder::from_unix_timestamp_millis(now.as_millis(), &random).into_uuid())
    }

    /// Creates an id from its 128 bits.
    #[must_use]
    pub const fn from_bits(bits: u128) -> Self {
        Self(Uuid::from_u128(bits))
    }

    /// Returns the 128 bits of the id.
    #[must_use]
    pub const fn to_bits(self) -> u128 {
        self.0.as_u128()
    }

    /// Returns the creation time of the id, in whole milliseconds.
    #[must_use]
    pub const fn created(self) -> Timestamp {
        Timestamp::from_millis((self.0.as_u128() >> 80) as u64)
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.hyphenated().fmt(f)
    }
}

impl FromStr for RequestId {
    type Err = RequestIdError;

    fn from_str(text: &str) -> Result<Self, RequestIdError> {
        Uuid::parse_str(text)
            .map(Self)
            .map_err(|_invalid| RequestIdError {
                text: text.to_owned(),
            })
    }
}
