//! State of one key.

use teaselglade_core::time::Timestamp;

use crate::key::RequestDigest;
use crate::record::{ClaimId, ClaimOutcome};

/// State of one key, after the records read so far.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub enum KeyState {
    /// No claim holds the key.
    #[default]
    Unclaimed,
    /// A claim holds the key and is not settled.
    Claimed {
        /// Claim that holds the key.
        claim: ClaimId,
        /// Digest of its request.
        digest: RequestDigest,
        /// Time of its record on the log's clock.
        claimed_at: Timestamp,
    },
    /// The call of the key is settled for good.
    Settled {
        /// Digest of the request.
        digest: RequestDigest,
        /// What became of it.
        outcome: ClaimOutcome,
    },
}
