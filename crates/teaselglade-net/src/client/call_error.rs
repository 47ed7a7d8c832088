//! Failure of an HTTP call.

use std::fmt;

use teaselglade_core::port::AttemptError;
use teaselglade_core::verdict::SendProgress;

/// Failure of an HTTP call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallError {
    /// How far the request was sent.
    pub progress: SendProgress,
    /// What went wrong.
    pub detail: String,
}

impl CallError {
    /// Creates the error of a call with the given send progress.
    pub fn new(progress: SendProgress, detail: impl Into<String>) -> Self {
        Self {
            progress,
            detail: detail.into(),
        }
    }
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.detail)
    }
}

impl std::error::Error for CallError {}

impl From<CallError> for AttemptError {
    fn from(error: CallError) -> Self {
        Self::new(error.progress, error.detail)
    }
}
