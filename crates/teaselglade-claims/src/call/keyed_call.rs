//! Call that may not be repeated.

use teaselglade_core::time::Timestamp;

use crate::key::{RequestDigest, ScopedKey};

teaselglade_core::arena_key! {
    /// Key of one booking at one host.
    pub struct CallId(u64);
}

/// Call that may not be repeated.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyedCall {
    /// Key of the call.
    pub key: ScopedKey,
    /// Digest of the request.
    pub digest: RequestDigest,
    /// Whether the caller says that it sent the key before without learning the outcome.
    pub is_retry: bool,
    /// Time by which the caller wants an answer.
    pub deadline: Timestamp,
}
