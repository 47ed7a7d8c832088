//! Idempotency key scoped to an organisation and a service.

use super::IdempotencyKey;
use super::stable_hash::StableHash;

/// Idempotency key scoped to an organisation and a service. The scope prevents collisions of equal
/// keys of different callers.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ScopedKey {
    /// Organisation of the call.
    pub organisation: String,
    /// Service of the call.
    pub service: String,
    /// Key that the caller sent.
    pub key: IdempotencyKey,
}

impl ScopedKey {
    /// Creates the key of an organisation's call to a service.
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
