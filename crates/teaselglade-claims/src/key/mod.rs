//! Idempotency keys, their window, their shard and the digest of the request.

mod claim_shard;
mod idempotency_key;
mod key_error;
mod key_window;
mod request_digest;
mod scoped_key;
mod stable_hash;

pub use claim_shard::{SHARD_COUNT, ShardKey};
pub use idempotency_key::IdempotencyKey;
pub use key_error::KeyError;
pub use key_window::KeyWindow;
pub use request_digest::{DigestError, RequestDigest};
pub use scoped_key::ScopedKey;

/// Result of checking a key.
pub type Result<T> = std::result::Result<T, KeyError>;
