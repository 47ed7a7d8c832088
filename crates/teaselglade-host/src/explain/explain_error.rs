//! Why a placement cannot be explained.

use std::fmt::{self, Display};

/// Why a placement cannot be explained.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ExplainError {
    /// The query names something that does not exist, or is malformed; what and what is expected.
    InvalidQuery(String),
    /// The host has no table yet.
    NoTable,
    /// Explanations were requested too often.
    TooOften,
}

impl Display for ExplainError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::InvalidQuery(detail) => f.write_str(detail),
            Self::NoTable => f.write_str("the host has no table yet"),
            Self::TooOften => f.write_str("too many explanations, try again in a second"),
        }
    }
}

impl std::error::Error for ExplainError {}
