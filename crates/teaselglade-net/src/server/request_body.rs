//! Reads the body of a request within a limit.

use std::fmt;

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use viz::Request;

/// Failure to read the body of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BodyError {
    /// The body is larger than the limit.
    TooLarge {
        /// The limit, in bytes.
        limit: usize,
    },
    /// The body ended before its length.
    Truncated {
        /// What went wrong.
        detail: String,
    },
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge { limit } => write!(f, "the body is larger than {limit} bytes"),
            Self::Truncated { detail } => write!(f, "the body is not whole: {detail}"),
        }
    }
}

impl std::error::Error for BodyError {}

/// Reads the whole body of a request of at most `limit` bytes.
///
/// # Errors
///
/// Fails where the body is larger or not whole.
pub async fn read_body(request: Request, limit: usize) -> Result<Bytes, BodyError> {
    match Limited::new(request.into_body(), limit).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(BodyError::TooLarge { limit }),
        Err(error) => Err(BodyError::Truncated {
            detail: error.to_string(),
        }),
    }
}
