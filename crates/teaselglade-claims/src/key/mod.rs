//! Idempotency keys, their validity window, their shard and the request digest.

mod idempotency_key;
mod key_error;
mod key_window;
mod request_digest;
mod scoped_key;
mod shard_key;
mod stable_hash;

pub use idempotency_key::IdempotencyKey;
pub use key_error::KeyError;
pub use key_window::KeyWindow;
pub use request_digest::{DigestError, RequestDigest};
pub use scoped_key::ScopedKey;
pub use shard_key::{SHARD_COUNT, ShardKey};

/// Result of parsing or checking a key.
pub type Result<T> = std::result::Result<T, KeyError>;
