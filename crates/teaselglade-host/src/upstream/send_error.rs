//! Error of sending a request to a server.

use std::fmt;

use teaselglade_core::verdict::SendProgress;

/// Failure to send a request to a server, with the progress of sending.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SendError {
    /// Whether any part of the request may have been sent.
    pub progress: SendProgress,
    /// Description of the failure.
    pub detail: String,
    /// Whether the server's host refused the connection, so that no process listens there.
    pub is_refused: bool,
}

impl SendError {
    /// Creates an error with the progress of sending and a description.
    pub fn new(progress: SendProgress, detail: impl Into<String>) -> Self {
        Self {
            progress,
            detail: detail.into(),
            is_refused: false,
        }
    }

    /// Sets whether the server's host refused the connection.
    #[must_use]
    pub const fn refused(mut self, is_refused: bool) -> Self {
        self.is_refused = is_refused;
        self
    }
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.detail)
    }
}

impl std::error::Error for SendError {}
