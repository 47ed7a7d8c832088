//! Decisions that keep non-idempotent calls at most once.
//!
//! A call that may not be repeated carries an idempotency key. The entry host appends a claim to
//! the key's shard of the log and dispatches the call only after it has read that claim as the
//! first of its key. The order of records in the log is the only authority; nothing here depends
//! on which hosts are alive, on membership or on leases.

pub mod call;
pub mod key;
pub mod plain;
pub mod record;
pub mod shard;
pub mod view;
