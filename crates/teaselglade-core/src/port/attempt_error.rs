//! Failure of one attempt.

use std::fmt;

use crate::verdict::SendProgress;

/// Failure of one attempt at a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptError {
    /// How far the request got.
    pub progress: SendProgress,
    /// What went wrong.
    pub detail: String,
}

impl AttemptError {
    /// Makes the error of an attempt that got this far.
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
