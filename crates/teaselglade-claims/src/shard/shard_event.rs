//! Input events of a shard's state machine.

use teaselglade_core::port::{AttemptError, LogError, LogPage, PlainAnswer};

use crate::call::{CallId, KeyedCall};

/// Input event of a shard's state machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ShardEvent {
    /// A caller submitted a call.
    Submitted {
        /// Id of the call, unique at this host.
        call_id: CallId,
        /// The call.
        call: KeyedCall,
    },
    /// The read in flight ended.
    Read(Result<LogPage, LogError>),
    /// The append in flight ended.
    Appended(Result<u64, LogError>),
    /// An attempt at a backend server ended.
    Attempted {
        /// Id of the call.
        call_id: CallId,
        /// Response of the server, or the failure of the attempt.
        result: Result<PlainAnswer, AttemptError>,
        /// Whether another attempt is permitted if this one did not run.
        may_retry: bool,
    },
    /// The time of the last `WakeAt` was reached.
    Woken,
}
