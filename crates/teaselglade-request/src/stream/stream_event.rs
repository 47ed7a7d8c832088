//! What happens to a stream.

use teaselglade_core::id::{AttemptId, ServerKey};
use teaselglade_core::port::{AttemptError, EngineEvent};
use teaselglade_core::time::Timestamp;
use teaselglade_core::verdict::RequestRefusal;

use super::CallerSession;
use crate::retry::RetryDecision;

/// What happens to a stream.
#[derive(Debug, Clone, PartialEq)]
pub enum StreamEvent {
    /// The request was admitted, or its record arrived from a peer.
    Admitted {
        /// Server that probably caches the prefix.
        prefer: Option<ServerKey>,
    },
    /// A server was chosen.
    Placed {
        /// Number of the `Place` action.
        operation_id: u32,
        /// The server.
        server: ServerKey,
    },
    /// No server could be chosen.
    NotPlaced {
        /// Number of the `Place` action.
        operation_id: u32,
        /// Why; its verdict is not used.
        refusal: RequestRefusal,
    },
    /// The retry budget decided.
    RetryDecided {
        /// Number of the `RequestRetry` action.
        operation_id: u32,
        /// The decision.
        decision: RetryDecision,
    },
    /// A frame arrived.
    Frame(EngineEvent),
    /// An attempt failed, or its stream broke.
    AttemptFailed {
        /// The attempt.
        attempt: AttemptId,
        /// What went wrong.
        error: AttemptError,
    },
    /// An attempt's stream closed in good order; without an end frame it is cut.
    AttemptClosed {
        /// The attempt.
        attempt: AttemptId,
    },
    /// A server is leaving.
    ServerLeaving {
        /// The server.
        server: ServerKey,
        /// When it stops.
        deadline: Timestamp,
    },
    /// A KV cache arrived at its target.
    KvMoved {
        /// Number of the `MoveKv` action.
        operation_id: u32,
        /// Handle at the target.
        handle: String,
    },
    /// A KV cache could not be moved.
    KvFailed {
        /// Number of the `MoveKv` action.
        operation_id: u32,
    },
    /// The time of a `SetTimer` action came.
    TimerFired,
    /// A caller's connection is gone.
    CallerDisconnected {
        /// The connection.
        session: CallerSession,
    },
    /// A caller came back.
    CallerResumed {
        /// The new connection.
        session: CallerSession,
        /// Index of the first token that the caller lacks.
        from: u32,
        /// Line that the caller's last token belongs to, where the caller says so.
        copy_id: Option<u16>,
    },
    /// This entry host is leaving; without a deadline it drains to the end.
    HostStopping {
        /// When the host stops.
        deadline: Option<Timestamp>,
    },
    /// A peer took the record.
    HandoverDone,
    /// No peer took the record, as far as is known.
    HandoverFailed {
        /// Generation above that of any copy that a peer may hold.
        generation: u16,
    },
}
