//! Shards of the claims log.

use teaselglade_core::port::StreamName;

use super::ScopedKey;

/// Number of shards; all hosts must use the same value.
pub const SHARD_COUNT: u16 = 4_096;

teaselglade_core::arena_key! {
    /// Key of one shard of the claims log.
    pub struct ShardKey(u16);
}

impl ShardKey {
    /// Returns the shard of a key; it is the same on every host.
    ///
    /// # Examples
    ///
    /// ```
    /// use teaselglade_claims::key::{SHARD_COUNT, ScopedKey, ShardKey};
    ///
    /// let key = "0193a1b2-0000-7000-8000-000000000001".parse()?;
    /// let shard = ShardKey::of(&ScopedKey::new("corrib", "ticket-desk", key));
    /// assert!(shard.index() < usize::from(SHARD_COUNT));
    /// # Ok::<(), teaselglade_claims::key::KeyError>(())
    /// ```
    #[must_use]
    pub fn of(key: &ScopedKey) -> Self {
        let hash = key.stable_hash();
        let folded = (hash >> 64) as u64 ^ hash as u64;
        Self::new((folded % u64::from(SHARD_COUNT)) as u16)
    }

    /// Returns the log stream of the shard.
    #[must_use]
    pub fn stream(self) -> StreamName {
        StreamName::claims(self.0)
    }
}
