//! Reader of response bodies.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use teaselglade_core::verdict::SendProgress;
use tokio::time::timeout;

use super::{CallError, Result};

const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Reads a whole response body and reports how much arrived if it fails.
#[derive(Debug)]
pub(super) struct BodyReader {
    body: Incoming,
    received: BytesMut,
}

impl BodyReader {
    /// Creates a reader of a body of which nothing was read.
    pub(super) fn new(body: Incoming) -> Self {
        Self {
            body,
            received: BytesMut::new(),
        }
    }

    /// Returns the body if all of it arrives within `time_limit`.
    ///
    /// # Errors
    ///
    /// Fails if the body is late, broken off or larger than 16 MiB.
    pub(super) async fn read_within(mut self, time_limit: Duration) -> Result<Bytes> {
        match timeout(time_limit, self.read_to_end()).await {
            Ok(Ok(())) => Ok(self.received.freeze()),
            Ok(Err(detail)) => Err(self.failure(&detail)),
            Err(_elapsed) => Err(self.failure(&format!("answer not whole in {time_limit:?}"))),
        }
    }

    async fn read_to_end(&mut self) -> std::result::Result<(), String> {
        while self.read_part().await? {}
        Ok(())
    }

    /// Reads the next part of the body; returns whether there was one.
    async fn read_part(&mut self) -> std::result::Result<bool, String> {
        let Some(frame) = self.body.frame().await else {
            return Ok(false);
        };
        let frame = frame.map_err(|error| error.to_string())?;
        if let Some(data) = frame.data_ref() {
            if self.received.len() + data.len() > MAX_RESPONSE_BYTES {
                return Err(format!("answer longer than {MAX_RESPONSE_BYTES} bytes"));
            }
            self.received.extend_from_slice(data);
        }
        Ok(true)
    }

    fn failure(&self, detail: &str) -> CallError {
        let detail = format!("{detail}, {} bytes received", self.received.len());
        CallError::new(SendProgress::MaybeSent, detail)
    }
}
