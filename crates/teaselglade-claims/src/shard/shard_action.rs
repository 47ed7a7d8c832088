//! What a shard's machine wants done.

use std::time::Duration;

use bytes::Bytes;
use teaselglade_core::time::Timestamp;

use crate::call::{CallId, CallResult};

/// What a shard's machine wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ShardAction {
    /// Read the shard; at most one read is under way.
    Read {
        /// Offset to read from.
        from: u64,
        /// Most records to read.
        max_records: u32,
        /// Longest wait for a record.
        wait: Duration,
    },
    /// Append a record; at most one append is under way.
    Append {
        /// Content of the record.
        body: Bytes,
    },
    /// Send the call to a backend server.
    Dispatch {
        /// Key of the booking.
        call_id: CallId,
        /// Number of the attempt, from 1.
        attempt: u32,
    },
    /// Answer the caller; the booking has ended for the caller.
    Answer {
        /// Key of the booking.
        call_id: CallId,
        /// The answer, or the refusal with its verdict.
        result: CallResult,
    },
    /// Send `Woken` at this time; it replaces any earlier wish.
    WakeAt(Timestamp),
}
