//! Key that a caller gives a call that may not be repeated.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use teaselglade_core::time::Timestamp;
use uuid::{Uuid, Version};

use super::KeyError;

const CREATED_SHIFT: u32 = 80;

/// Idempotency key: a UUID of version 7, made by the caller once for each call.
///
/// The time inside the key bounds how long its claim must be remembered.
///
/// # Examples
///
/// ```
/// use teaselglade_claims::key::{IdempotencyKey, KeyError};
///
/// let key = "0193a1b2-0000-7000-8000-000000000001".parse::<IdempotencyKey>()?;
/// assert_eq!(key.created().as_millis(), 0x0193_a1b2_0000);
/// let random = "3f0c2a53-52b0-4e51-9a5b-6a5f9b1d4c11".parse::<IdempotencyKey>();
/// assert!(matches!(random, Err(KeyError::Malformed { .. })));
/// # Ok::<(), KeyError>(())
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct IdempotencyKey(Uuid);

impl IdempotencyKey {
    /// Returns the time the caller made the key at, on the caller's clock.
    #[must_use]
    pub const fn created(self) -> Timestamp {
        Timestamp::from_millis((self.0.as_u128() >> CREATED_SHIFT) as u64)
    }
}

impl fmt::Display for IdempotencyKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.hyphenated().fmt(f)
    }
}

impl FromStr for IdempotencyKey {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Self, KeyError> {
        let malformed = || KeyError::Malformed {
            text: text.to_owned(),
        };
        let uuid = Uuid::parse_str(text).map_err(|_invalid| malformed())?;
        match uuid.get_version() {
            Some(Version::SortRand) => Ok(Self(uuid)),
            _ => Err(malformed()),
        }
    }
}
