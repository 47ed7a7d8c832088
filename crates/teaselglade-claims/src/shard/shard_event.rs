//! What happens to a shard's machine.

use teaselglade_core::port::{AttemptError, LogError, LogPage, PlainAnswer};

use crate::call::{CallId, KeyedCall};

/// What happens to a shard's machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ShardEvent {
    /// A caller sent a call.
    Submitted {
        /// Key of the booking, new at this host.
        call_id: CallId,
        /// The call.
        call: KeyedCall,
    },
    /// The read under way ended.
    Read(Result<LogPage, LogError>),
    /// The append under way ended.
    Appended(Result<u64, LogError>),
    /// An attempt at a backend server ended.
    Attempted {
        /// Key of the booking.
        call_id: CallId,
        /// What the server answered.
        result: Result<PlainAnswer, AttemptError>,
        /// Whether another attempt is permitted, where none ran.
        may_retry: bool,
    },
    /// The time of the last `WakeAt` came.
    Woken,
}
