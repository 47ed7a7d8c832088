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
    /// Whether the caller may have sent the key before. Then an earlier call may have run.
    pub is_retry: bool,
    /// Time by which the caller needs a response.
    pub deadline: Timestamp,
}
