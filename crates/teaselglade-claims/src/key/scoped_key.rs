//! Key within its organisation and service.

use super::IdempotencyKey;
use super::stable_hash::StableHash;

/// Key within its organisation and service, so that no caller meets another's key.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ScopedKey {
    /// Organisation of the call.
    pub organisation: String,
    /// Service of the call.
    pub service: String,
    /// Key that the caller gave.
    pub key: IdempotencyKey,
}

impl ScopedKey {
    /// Makes the key of one organisation's call to one service.
    ///
    /// # Examples
    ///
    /// ```
    /// use teaselglade_claims::key::ScopedKey;
    ///
    /// let key = "0193a1b2-0000-7000-8000-000000000001".parse()?;
    /// let corrib = ScopedKey::new("corrib", "ticket-desk", key);
    /// assert_ne!(corrib, ScopedKey::new("sleeve", "ticket-desk", key));
    /// # Ok::<(), teaselglade_claims::key::KeyError>(())
    /// ```
    pub fn new(
        organisation: impl Into<String>,
        service: impl Into<String>,
        key: IdempotencyKey,
    ) -> Self {
        Self {
            organisation: organisation.into(),
            service: service.into(),
            key,
        }
    }

    pub(super) fn stable_hash(&self) -> u128 {
        StableHash::new()
            .part(self.organisation.as_bytes())
            .part(self.service.as_bytes())
            .part(self.key.to_string().as_bytes())
            .finish()
    }
}
