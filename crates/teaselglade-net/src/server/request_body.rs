//! Reading of request bodies up to a size limit.

use std::fmt;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use viz::Request;

/// Maximum number of bytes beyond the limit that are read and discarded.
///
/// A caller that is still sending when its connection closes may never see the response.
const MAX_DROPPED_BYTES: usize = 16 * 1024 * 1024;

/// Failure to read the body of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BodyError {
    /// The body is larger than the limit.
    TooLarge {
        /// The limit, in bytes.
        limit: usize,
    },
    /// The body could not be read to its end.
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

/// Reads the whole body of a request, of at most `limit` bytes.
///
/// The rest of a larger body is read and discarded, so that the caller sees the response.
///
/// # Errors
///
/// Fails if the body is larger than `limit` or incomplete.
pub async fn read_body(request: Request, limit: usize) -> Result<Bytes, BodyError> {
    let mut body = request.into_body();
    let mut buffer = BytesMut::new();
    let mut read_bytes = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| BodyError::Truncated {
            detail: error.to_string(),
        })?;
        let Ok(chunk) = frame.into_data() else {
            continue;
        };
        read_bytes += chunk.len();
        if read_bytes <= limit {
            buffer.extend_from_slice(&chunk);
        }
        if read_bytes > limit + MAX_DROPPED_BYTES {
            break;
        }
    }
    if read_bytes > limit {
        return Err(BodyError::TooLarge { limit });
    }
    Ok(buffer.freeze())
}
