//! Actions that a shard's state machine requests.

use std::time::Duration;

use bytes::Bytes;
use teaselglade_core::time::Timestamp;

use crate::call::{CallId, CallResult};

/// Action that a shard's state machine requests from its driver.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ShardAction {
    /// Read the shard; at most one read is in flight.
    Read {
        /// Offset to read from.
        from: u64,
        /// Most records to read.
        max_records: u32,
        /// Longest wait for a first record.
        wait: Duration,
    },
    /// Append a record; at most one append is in flight.
    Append {
        /// Content of the record.
        body: Bytes,
    },
    /// Send the call to a backend server.
    Dispatch {
        /// Id of the call.
        call_id: CallId,
        /// Number of the attempt, from 1.
        attempt: u32,
    },
    /// Respond to the caller; no later action names the call.
    Answer {
        /// Id of the call.
        call_id: CallId,
        /// The response, or the refusal with its verdict.
        result: CallResult,
    },
    /// Send `Woken` at this time, in place of any earlier `WakeAt`.
    WakeAt(Timestamp),
}
