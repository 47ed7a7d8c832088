//! Body of a response to a caller.

use std::fmt;

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};

/// Error that ends a response which cannot be completed.
///
/// The caller's connection is closed without the end of the body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AbortedResponse;

impl fmt::Display for AbortedResponse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the response to the caller cannot be completed")
    }
}

impl std::error::Error for AbortedResponse {}

/// Body of a response to a caller, whole or streamed.
pub type ResponseBody = UnsyncBoxBody<Bytes, AbortedResponse>;

/// Returns a response body that consists of these bytes.
pub(super) fn full_body(bytes: Bytes) -> ResponseBody {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}
