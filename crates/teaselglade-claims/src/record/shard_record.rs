//! Entries of a shard of the claims log.

use super::{ClaimId, ClaimOutcome};
use crate::key::{RequestDigest, ScopedKey};

/// Claim record: reserves an idempotency key for one execution of its call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimRecord {
    /// Key to reserve.
    pub key: ScopedKey,
    /// Id of the claim.
    pub claim: ClaimId,
    /// Digest of the request.
    pub digest: RequestDigest,
}

impl ClaimRecord {
    /// Returns the record that settles this claim.
    #[must_use]
    pub fn settle(&self, outcome: ClaimOutcome) -> SettleRecord {
        SettleRecord {
            key: self.key.clone(),
            claim: self.claim,
            digest: self.digest,
            outcome,
        }
    }
}

/// Settle record: states the outcome of a claim. Only the host that made the claim appends it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettleRecord {
    /// Key of the claim.
    pub key: ScopedKey,
    /// Id of the claim.
    pub claim: ClaimId,
    /// Digest of the request.
    pub digest: RequestDigest,
    /// Outcome of the call.
    pub outcome: ClaimOutcome,
}

/// One entry of a shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ShardRecord {
    /// Reserves a key for a claim.
    Claim(ClaimRecord),
    /// Settles a claim.
    Settle(SettleRecord),
}

impl ShardRecord {
    /// Returns the entry's key.
    #[must_use]
    pub const fn key(&self) -> &ScopedKey {
        match self {
            Self::Claim(record) => &record.key,
            Self::Settle(record) => &record.key,
        }
    }
}
