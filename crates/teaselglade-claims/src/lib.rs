//! At-most-once execution of non-idempotent calls.
//!
//! A call that must run at most once carries an idempotency key. The entry host appends a claim
//! record, which reserves the key, to the key's shard of an append-only log. It dispatches the call
//! only after it has read this claim back as the first one of its key. Only the order of the log's
//! records decides; the result does not depend on host liveness, membership or leases.

pub mod call;
pub mod key;
pub mod plain;
pub mod record;
pub mod shard;
pub mod view;
