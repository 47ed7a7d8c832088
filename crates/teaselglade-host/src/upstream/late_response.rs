//! Response to a request that is no longer waited for.

use std::time::Duration;

use hyper::StatusCode;
use hyper::header::HeaderMap;
use tokio::io::AsyncReadExt;
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::connection_pool::ConnectionLease;
use super::recorded_stream::ReleasedStream;

/// Maximum number of bytes that are read for the response.
const MAX_LATE_BYTES: usize = 1024 * 1024;
/// Size of one read.
const READ_BYTES: usize = 4 * 1024;

/// Response to a request that is no longer waited for.
///
/// The attempt was given up, or another response was read in its place. The connection counts as leased
/// until the response is read.
#[derive(Debug)]
pub struct LateResponse {
    released: oneshot::Receiver<ReleasedStream>,
    _lease: ConnectionLease,
}

impl LateResponse {
    pub(super) const fn new(
        released: oneshot::Receiver<ReleasedStream>,
        lease: ConnectionLease,
    ) -> Self {
        Self {
            released,
            _lease: lease,
        }
    }

    /// Reads on until the head of a response matches, and closes the connection.
    ///
    /// Returns `None` if none matches within `limit` and 1 MiB. An unmatched response has to be
    /// dropped before, so that its connection ends.
    pub async fn read(
        self,
        limit: Duration,
        is_match: impl Fn(StatusCode, &HeaderMap) -> bool,
    ) -> Option<(StatusCode, HeaderMap)> {
        timeout(limit, self.read_until(is_match))
            .await
            .ok()
            .flatten()
    }

    async fn read_until(
        self,
        is_match: impl Fn(StatusCode, &HeaderMap) -> bool,
    ) -> Option<(StatusCode, HeaderMap)> {
        let ReleasedStream {
            mut stream,
            mut scanner,
        } = self.released.await.ok()?;
        let mut read_bytes = 0;
        let mut buffer = [0; READ_BYTES];
        loop {
            while let Some((status, headers)) = scanner.next_head() {
                if is_match(status, &headers) {
                    return Some((status, headers));
                }
            }
            if scanner.has_ended() || read_bytes >= MAX_LATE_BYTES {
                return None;
            }
            // A connection that breaks or ends holds no further response.
            let count = stream.read(&mut buffer).await.ok()?;
            if count == 0 {
                return None;
            }
            read_bytes += count;
            scanner.push(&buffer[..count]);
        }
    }
}
