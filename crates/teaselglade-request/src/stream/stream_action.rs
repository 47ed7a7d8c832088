//! Actions that a stream requests from its adapter.

use teaselglade_core::id::{AttemptId, ServerKey};
use teaselglade_core::port::GenerateCall;
use teaselglade_core::time::Timestamp;
use teaselglade_core::verdict::RequestRefusal;

use super::{AttemptCause, CallerSession, StreamRecord};

/// States whether a placement may be refused because the response would be late.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum PlacementPurpose {
    /// The request is new and may be refused.
    First,
    /// The request was accepted before, so any permitted server is better than a refusal.
    Continue,
}

/// Requests a step from a stream's adapter.
#[derive(Debug, Clone, PartialEq)]
pub enum StreamAction {
    /// Choose a server and reply with `Placed` or `NotPlaced`.
    Place {
        /// Operation that the reply names.
        operation_id: u32,
        /// Servers that must not be chosen.
        exclude: Vec<ServerKey>,
        /// Server that probably caches the prompt's prefix.
        prefer: Option<ServerKey>,
        /// Whether the placement may be refused.
        purpose: PlacementPurpose,
    },
    /// Request a retry from the service's budget and reply with `RetryDecided`.
    RequestRetry {
        /// Operation that the reply names.
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
        /// Parameters of the call.
        call: GenerateCall,
        /// Why the attempt is started.
        cause: AttemptCause,
        /// Whether to open a new connection instead of using a pooled one.
        fresh_connection: bool,
    },
    /// Move the attempt's KV cache and reply with `KvMoved` or `KvFailed`.
    MoveKv {
        /// Operation that the reply names.
        operation_id: u32,
        /// Attempt whose cache is moved.
        attempt: AttemptId,
        /// Server that exports the cache.
        from: ServerKey,
        /// Server that imports the cache.
        to: ServerKey,
    },
    /// Cancel an attempt and stop reading its frames.
    Cancel {
        /// Server that runs the attempt.
        server: ServerKey,
        /// The attempt.
        attempt: AttemptId,
    },
    /// Send a token to the caller.
    Deliver {
        /// Position in the response, from 0.
        index: u32,
        /// Text of the token.
        text: String,
    },
    /// Send the caller the end of a complete response.
    Finish {
        /// Tokens of the response.
        total: u32,
        /// Tokens that were computed more than once.
        recomputed: u32,
    },
    /// Send the caller a refusal as the final response.
    Refuse {
        /// The refusal.
        refusal: RequestRefusal,
    },
    /// Refuse a caller's attempt to resume, without ending the stream.
    RejectResume {
        /// Connection that tried to resume.
        session: CallerSession,
        /// Refusal to send.
        refusal: RequestRefusal,
    },
    /// Offer the record to peers and reply with `HandoverDone` or `HandoverFailed`.
    HandOver {
        /// Record of the stream.
        record: Box<StreamRecord>,
    },
    /// Close the caller's connection without an end event, so that the caller reconnects.
    CloseCallerConnection,
    /// Send `TimerFired` at this time.
    SetTimer {
        /// When the timer fires.
        at: Timestamp,
    },
    /// Discard the machine, since the stream is finished.
    Discard,
}
