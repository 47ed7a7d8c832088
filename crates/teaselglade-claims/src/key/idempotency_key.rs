//! Idempotency key of a call that must run at most once.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use teaselglade_core::time::Timestamp;
use uuid::{Uuid, Version};

use super::KeyError;

const TIMESTAMP_SHIFT: u32 = 80;

/// Idempotency key: a version 7 UUID that the caller generates once per call.
///
/// The timestamp in the key bounds how long its claim must be kept.
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
    /// Returns the time at which the caller generated the key, on the caller's clock.
    #[must_use]
    pub const fn created(self) -> Timestamp {
        Timestamp::from_millis((self.0.as_u128() >> TIMESTAMP_SHIFT) as u64)
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
