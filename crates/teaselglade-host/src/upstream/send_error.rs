//! Failure to send a request to a server.

use std::fmt;

use teaselglade_core::verdict::SendProgress;

/// Failure to send a request to a server, and how far the request got.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SendError {
    /// How far the request got.
    pub progress: SendProgress,
    /// What went wrong.
    pub detail: String,
}

impl SendError {
    /// Makes the error of a request that got this far.
    pub fn new(progress: SendProgress, detail: impl Into<String>) -> Self {
        Self {
            progress,
            detail: detail.into(),
        }
    }
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.detail)
    }
}

impl std::error::Error for SendError {}
