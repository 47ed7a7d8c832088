//! Call with an idempotency key.

use teaselglade_core::time::Timestamp;

use crate::key::{RequestDigest, ScopedKey};

teaselglade_core::arena_key! {
    /// Id of a pending keyed call, unique at one host.
    pub struct CallId(u64);
}

/// Call with an idempotency key, which must run at most once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyedCall {
    /// Idempotency key of the call.
    pub key: ScopedKey,
    /// Digest of the request.
    pub digest: RequestDigest,
    /// Whether the caller declares that it sent the key before and got no outcome.
    pub is_retry: bool,
    /// Time by which the caller expects an answer.
    pub deadline: Timestamp,
}
