//! Body of an answer to a caller.

use std::fmt;

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};

/// An answer that cannot be finished; the caller's connection is closed without an end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AbortedResponse;

impl fmt::Display for AbortedResponse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the answer cannot be finished")
    }
}

impl std::error::Error for AbortedResponse {}

/// Body of an answer to a caller.
pub type ResponseBody = UnsyncBoxBody<Bytes, AbortedResponse>;

/// Makes the body of an answer that is there as a whole.
pub(super) fn whole_body(bytes: Bytes) -> ResponseBody {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}
