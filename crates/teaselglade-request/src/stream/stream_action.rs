//! What a stream's adapter has to do.

use teaselglade_core::id::{AttemptId, ServerKey};
use teaselglade_core::port::GenerateCall;
use teaselglade_core::time::Timestamp;
use teaselglade_core::verdict::RequestRefusal;

use super::{AttemptCause, CallerSession, StreamRecord};

/// Whether a placement may be refused for predicted lateness.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum PlacementPurpose {
    /// The request is new and may be refused.
    First,
    /// The request was accepted before; any permitted server is better than none.
    Continue,
}

/// What a stream's adapter has to do.
#[derive(Debug, Clone, PartialEq)]
pub enum StreamAction {
    /// Choose a server and answer with `Placed` or `NotPlaced`.
    Place {
        /// Number to answer with.
        operation_id: u32,
        /// Servers that must not be chosen.
        exclude: Vec<ServerKey>,
        /// Server that probably caches the prefix.
        prefer: Option<ServerKey>,
        /// Whether the placement may be refused.
        purpose: PlacementPurpose,
    },
    /// Ask the service's retry budget and answer with `RetryDecided`.
    RequestRetry {
        /// Number to answer with.
        operation_id: u32,
        /// Number of the retry within the request, from 1.
        retry: u32,
        /// Server whose attempt was lost.
        lost: ServerKey,
    },
    /// Start an attempt.
    Dispatch {
        /// Server to call.
        server: ServerKey,
        /// The call.
        call: GenerateCall,
        /// Why the attempt is started.
        cause: AttemptCause,
        /// Whether pooled connections must not be used.
        fresh_connection: bool,
    },
    /// Move the attempt's KV cache and answer with `KvMoved` or `KvFailed`.
    MoveKv {
        /// Number to answer with.
        operation_id: u32,
        /// Attempt whose cache is moved.
        attempt: AttemptId,
        /// Server that exports.
        from: ServerKey,
        /// Server that imports.
        to: ServerKey,
    },
    /// Cancel an attempt and stop reading its frames.
    Cancel {
        /// Server that runs the attempt.
        server: ServerKey,
        /// The attempt.
        attempt: AttemptId,
    },
    /// Pass a token on to the caller.
    Deliver {
        /// Position in the answer, from 0.
        index: u32,
        /// Text of the token.
        text: String,
    },
    /// Tell the caller that the answer is whole.
    Finish {
        /// Tokens of the answer.
        total: u32,
        /// Tokens that were computed again.
        recomputed: u32,
    },
    /// Give the caller the final answer without a result.
    Refuse {
        /// The final answer.
        refusal: RequestRefusal,
    },
    /// Refuse a caller's attempt to resume; the stream itself goes on.
    RejectResume {
        /// Connection that asked.
        session: CallerSession,
        /// Why.
        refusal: RequestRefusal,
    },
    /// Hand the record to a peer and answer with `HandoverDone` or `HandoverFailed`.
    HandOver {
        /// The record.
        record: Box<StreamRecord>,
    },
    /// Cut the caller's connection without an end, so that the caller comes back.
    CloseCallerConnection,
    /// Send `TimerFired` at this time.
    SetTimer {
        /// When.
        at: Timestamp,
    },
    /// Drop the machine.
    Discard,
}
