//! Reader of response bodies.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use teaselglade_core::verdict::SendProgress;
use tokio::time::error::Elapsed;
use tokio::time::timeout;

use super::{CallError, Result};

/// Maximum time for a body of any size, so that a sender of single bytes cannot occupy the reader.
const MAX_BODY_TIME: Duration = Duration::from_secs(10);
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
        let read = timeout(time_limit, self.read_to_end(time_limit)).await;
        self.finish(read, time_limit)
    }

    /// Returns the body if no part of it is awaited for longer than `stall_timeout`.
    ///
    /// # Errors
    ///
    /// Fails if the body stalls, takes longer than 10 s, is broken off or larger than 16 MiB.
    pub(super) async fn read_while_flowing(mut self, stall_timeout: Duration) -> Result<Bytes> {
        let read = timeout(MAX_BODY_TIME, self.read_to_end(stall_timeout)).await;
        self.finish(read, MAX_BODY_TIME)
    }

    fn finish(
        self,
        read: std::result::Result<std::result::Result<(), String>, Elapsed>,
        time_limit: Duration,
    ) -> Result<Bytes> {
        match read {
            Ok(Ok(())) => Ok(self.received.freeze()),
            Ok(Err(detail)) => Err(self.failure(&detail)),
            Err(_elapsed) => Err(self.failure(&format!("answer not whole in {time_limit:?}"))),
        }
    }

    async fn read_to_end(&mut self, stall_timeout: Duration) -> std::result::Result<(), String> {
        loop {
            match timeout(stall_timeout, self.read_part()).await {
                Ok(Ok(true)) => {}
                Ok(Ok(false)) => return Ok(()),
                Ok(Err(detail)) => return Err(detail),
                Err(_elapsed) => return Err(format!("answer stalled for {stall_timeout:?}")),
            }
        }
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
