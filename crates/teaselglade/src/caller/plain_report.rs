//! Result of one call to a plain service, as its caller saw it.

use bytes::Bytes;
use teaselglade_wire::ErrorBody;

/// Result of one call to a plain service, as its caller saw it.
#[derive(Debug, Clone, PartialEq)]
pub enum PlainReport {
    /// The plain server responded.
    Responded {
        /// HTTP status code.
        status: u16,
        /// Response body.
        body: Bytes,
    },
    /// An entry host refused the call; the error body holds the verdict.
    Refused(ErrorBody),
    /// No complete response arrived.
    Lost {
        /// Description of the failure.
        detail: String,
    },
}
