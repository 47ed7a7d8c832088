//! State of one idempotency key.

use teaselglade_core::time::Timestamp;

use crate::key::RequestDigest;
use crate::record::{ClaimId, ClaimOutcome};

/// State of one idempotency key after the records read so far.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub enum KeyState {
    /// No claim holds the key.
    #[default]
    Unclaimed,
    /// A claim holds the key and is not settled.
    Claimed {
        /// Claim that holds the key.
        claim: ClaimId,
        /// Digest of the claim's request.
        digest: RequestDigest,
        /// Time of the claim record, on the log's clock.
        claimed_at: Timestamp,
    },
    /// The key's call is settled and never runs again.
    Settled {
        /// Digest of the request.
        digest: RequestDigest,
        /// Outcome of the call.
        outcome: ClaimOutcome,
    },
}
