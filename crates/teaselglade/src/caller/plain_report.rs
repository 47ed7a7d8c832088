//! What a caller saw of one call to a plain server.

use bytes::Bytes;
use teaselglade_wire::ErrorBody;

/// What a caller saw of one call to a plain server.
#[derive(Debug, Clone, PartialEq)]
pub enum PlainReport {
    /// The plain server's answer.
    Answered {
        /// HTTP status.
        status: u16,
        /// Body.
        body: Bytes,
    },
    /// The system's final answer without a result.
    Refused(ErrorBody),
    /// No answer came.
    Lost {
        /// What went wrong.
        detail: String,
    },
}
