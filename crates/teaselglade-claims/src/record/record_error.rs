//! Failure to encode or decode a record of a shard.

use std::fmt;

use teaselglade_wire::codec::CodecError;

/// Failure to encode or decode a record of a shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordError {
    detail: String,
}

impl RecordError {
    pub(super) fn new(error: &impl fmt::Display) -> Self {
        Self {
            detail: error.to_string(),
        }
    }
}

impl fmt::Display for RecordError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "malformed claim record: {}", self.detail)
    }
}

impl std::error::Error for RecordError {}

impl From<CodecError> for RecordError {
    fn from(error: CodecError) -> Self {
        Self::new(&error)
    }
}
