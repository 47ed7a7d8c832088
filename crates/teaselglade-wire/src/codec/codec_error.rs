//! Error of encoding or decoding.

use std::fmt;

/// Error of encoding or decoding a message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CodecError {
    detail: String,
}

impl CodecError {
    pub(super) fn new(error: &impl fmt::Display) -> Self {
        Self {
            detail: error.to_string(),
        }
    }
}

impl fmt::Display for CodecError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "malformed message: {}", self.detail)
    }
}

impl std::error::Error for CodecError {}
