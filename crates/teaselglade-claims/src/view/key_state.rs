//! State of one key.

use teaselglade_core::time::Timestamp;

use crate::key::RequestDigest;
use crate::record::{ClaimId, ClaimOutcome};

/// State of one key, after the records read so far.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub enum KeyState {
    /// No claim holds the key.
    #[default]
    Free,
    /// A claim holds the key and is not settled.
    Held {
        /// Claim that holds the key.
        claim: ClaimId,
        /// Digest of its request.
        digest: RequestDigest,
        /// Time of its record on the log's clock.
        since: Timestamp,
    },
    /// The call of the key is settled for good.
    Done {
        /// Digest of the request.
        digest: RequestDigest,
        /// What became of it.
        outcome: ClaimOutcome,
    },
}
