//! Answer to a call that may not be repeated.

use bytes::Bytes;
use teaselglade_core::verdict::RequestRefusal;

/// Answer of the backend server, first-hand or replayed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers that are passed on.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Bytes,
    /// Whether the answer comes from an earlier call with the key.
    pub replayed: bool,
}

/// Answer to the caller, or the refusal with its verdict.
pub type CallResult = Result<CallAnswer, RequestRefusal>;
