//! Body of a response to a caller.

use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame, SizeHint};

use crate::open::RequestGuard;

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

/// Returns a response body that keeps its request open until it has been read or dropped.
pub(super) fn hold_open(body: ResponseBody, open: RequestGuard) -> ResponseBody {
    let body = OpenBody { body, open };
    body.boxed_unsync()
}

/// Response body of an open request.
struct OpenBody {
    body: ResponseBody,
    open: RequestGuard,
}

impl Drop for OpenBody {
    fn drop(&mut self) {
        self.open.is_taken |= self.body.is_end_stream();
    }
}

impl Body for OpenBody {
    type Data = Bytes;
    type Error = AbortedResponse;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AbortedResponse>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        self.open.is_taken |= matches!(polled, Poll::Ready(None | Some(Err(_))));
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
