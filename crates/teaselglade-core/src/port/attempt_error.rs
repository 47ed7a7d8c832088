//! Failure of one attempt at a backend server.

use std::fmt;

use crate::verdict::SendProgress;

/// Failure of one attempt at a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptError {
    /// How far the request was sent.
    pub progress: SendProgress,
    /// What went wrong.
    pub detail: String,
}

impl AttemptError {
    /// Creates the error of an attempt with the given send progress.
    pub fn new(progress: SendProgress, detail: impl Into<String>) -> Self {
        Self {
            progress,
            detail: detail.into(),
        }
    }
}

impl fmt::Display for AttemptError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "attempt failed ({:?}): {}", self.progress, self.detail)
    }
}

impl std::error::Error for AttemptError {}
