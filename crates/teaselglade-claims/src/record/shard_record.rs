//! Entries of a shard of claims.

use super::{ClaimId, ClaimOutcome};
use crate::key::{RequestDigest, ScopedKey};

/// A host claims a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimRecord {
    /// Key that is claimed.
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

/// The claimer, and nobody else, settles its claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettleRecord {
    /// Key of the claim.
    pub key: ScopedKey,
    /// Claim that is settled.
    pub claim: ClaimId,
    /// Digest of the request.
    pub digest: RequestDigest,
    /// What became of the call.
    pub outcome: ClaimOutcome,
}

/// One entry of a shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ShardRecord {
    /// A host claims a key.
    Claim(ClaimRecord),
    /// The claimer settles its claim.
    Settle(SettleRecord),
}

impl ShardRecord {
    /// Returns the key that the entry is about.
    #[must_use]
    pub const fn key(&self) -> &ScopedKey {
        match self {
            Self::Claim(record) => &record.key,
            Self::Settle(record) => &record.key,
        }
    }
}
