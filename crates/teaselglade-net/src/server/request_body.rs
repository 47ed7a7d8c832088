//! Reads the body of a request within a limit.

use std::fmt;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use viz::Request;

/// Most bytes beyond the limit that are read and dropped.
///
/// A caller that is still sending when its connection closes may never see the answer.
const MAX_DROPPED_BYTES: usize = 16 * 1024 * 1024;

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
/// The rest of a larger body is read and dropped, so that the caller gets its answer.
///
/// # Errors
///
/// Fails where the body is larger or not whole.
pub async fn read_body(request: Request, limit: usize) -> Result<Bytes, BodyError> {
    let mut body = request.into_body();
    let mut kept = BytesMut::new();
    let mut read = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| BodyError::Truncated {
            detail: error.to_string(),
        })?;
        let Ok(chunk) = frame.into_data() else {
            continue;
        };
        read += chunk.len();
        if read <= limit {
            kept.extend_from_slice(&chunk);
        }
        if read > limit + MAX_DROPPED_BYTES {
            break;
        }
    }
    if read > limit {
        return Err(BodyError::TooLarge { limit });
    }
    Ok(kept.freeze())
}
