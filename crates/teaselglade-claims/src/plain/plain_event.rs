//! Events and actions of a plain call.

use teaselglade_core::port::{AttemptError, PlainAnswer};
use teaselglade_core::time::Timestamp;
use teaselglade_core::verdict::RequestRefusal;

/// Input event of a plain call's state machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlainEvent {
    /// The call was accepted.
    Started,
    /// The attempt in flight ended.
    Attempted(Result<PlainAnswer, AttemptError>),
    /// The time of the last `WakeAt` was reached.
    Woken,
}

/// Action that a plain call's state machine requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlainAction {
    /// Send the call to a backend server.
    Dispatch {
        /// Number of the attempt, from 1.
        attempt: u32,
    },
    /// Send `Woken` at this time.
    WakeAt(Timestamp),
    /// Respond to the caller; the call has ended.
    Answer(Result<PlainAnswer, RequestRefusal>),
}
