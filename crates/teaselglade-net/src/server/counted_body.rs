//! Body of an answer that counts as open until its end.

use std::pin::Pin;
use std::task::{Context, Poll};

use hyper::body::{Body, Frame, SizeHint};

use super::connection_activity::RequestGuard;

/// Body that keeps its request counted until it was sent or dropped.
#[derive(Debug)]
pub struct CountedBody<B> {
    body: B,
    _guard: RequestGuard,
}

impl<B> CountedBody<B> {
    pub(super) const fn new(body: B, guard: RequestGuard) -> Self {
        Self {
            body,
            _guard: guard,
        }
    }
}

impl<B: Body + Unpin> Body for CountedBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
