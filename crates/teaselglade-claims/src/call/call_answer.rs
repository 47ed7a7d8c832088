//! Response to a keyed call.

use bytes::Bytes;
use teaselglade_core::verdict::RequestRefusal;

/// Response of the backend server, returned directly or replayed from the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers that are forwarded to the caller.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Bytes,
    /// Whether the response was replayed from an earlier call with the key.
    pub replayed: bool,
}

/// Response to the caller, or the refusal with its verdict.
pub type CallResult = Result<CallAnswer, RequestRefusal>;
