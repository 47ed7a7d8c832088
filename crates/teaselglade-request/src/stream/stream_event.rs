//! Events of a stream.

use teaselglade_core::id::{AttemptId, ServerKey};
use teaselglade_core::port::{AttemptError, EngineEvent};
use teaselglade_core::time::Timestamp;
use teaselglade_core::verdict::RequestRefusal;

use super::CallerSession;
use crate::retry::RetryDecision;

/// Reports an event to a stream's machine.
#[derive(Debug, Clone, PartialEq)]
pub enum StreamEvent {
    /// The request was admitted, or its record was received from a peer.
    Admitted {
        /// Server that probably caches the prompt's prefix.
        prefer: Option<ServerKey>,
    },
    /// A server was chosen.
    Placed {
        /// Operation of the `Place` action.
        operation_id: u32,
        /// Chosen server.
        server: ServerKey,
    },
    /// No server could be chosen.
    NotPlaced {
        /// Operation of the `Place` action.
        operation_id: u32,
        /// Reason; its verdict is not used.
        refusal: RequestRefusal,
    },
    /// The retry budget granted or denied a retry.
    RetryDecided {
        /// Operation of the `RequestRetry` action.
        operation_id: u32,
        /// Decision of the budget.
        decision: RetryDecision,
    },
    /// A frame of an attempt arrived.
    Frame(EngineEvent),
    /// An attempt failed, or its stream broke.
    AttemptFailed {
        /// Attempt that failed.
        attempt: AttemptId,
        /// Error of the attempt.
        error: AttemptError,
    },
    /// An attempt's connection closed without an error; without an end frame it is truncated.
    AttemptClosed {
        /// Attempt whose connection closed.
        attempt: AttemptId,
    },
    /// A server is leaving.
    ServerLeaving {
        /// Server that is leaving.
        server: ServerKey,
        /// When the server stops.
        deadline: Timestamp,
    },
    /// A KV cache was imported by its target.
    KvMoved {
        /// Operation of the `MoveKv` action.
        operation_id: u32,
        /// Handle of the cache at the target.
        handle: String,
    },
    /// A KV cache could not be moved.
    KvFailed {
        /// Operation of the `MoveKv` action.
        operation_id: u32,
    },
    /// The timer of a `SetTimer` action fired.
    TimerFired,
    /// A caller's connection closed.
    CallerDisconnected {
        /// Connection that closed.
        session: CallerSession,
    },
    /// A caller reconnected to resume the response.
    CallerResumed {
        /// New connection.
        session: CallerSession,
        /// Index of the first token that the caller lacks.
        from: u32,
        /// Copy of the stream that sent the caller's last token, if the caller names it.
        copy_id: Option<u16>,
    },
    /// This entry host is leaving; without a deadline it drains until its streams end.
    HostStopping {
        /// When the host stops.
        deadline: Option<Timestamp>,
    },
    /// A peer accepted the record.
    HandoverDone,
    /// No peer confirmed that it accepted the record.
    HandoverFailed {
        /// Generation above that of every copy that a peer may hold.
        generation: u16,
    },
}
