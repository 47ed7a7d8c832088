//! Response that a server may send behind one that does not match its request.

use std::time::Duration;

use hyper::StatusCode;
use hyper::header::HeaderMap;
use tokio::io::AsyncReadExt;
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::connection_pool::ConnectionLease;
use super::recorded_stream::ReleasedStream;
use super::response_scanner::ResponseScanner;

/// Maximum number of bytes that are read for the response.
const MAX_LATE_BYTES: usize = 64 * 1024;
/// Maximum time for which the response is awaited.
///
/// The request moves meanwhile, and the server may work on for it until the connection closes; the
/// shortest bound on that is 400 ms.
const MAX_LATE_TIME: Duration = Duration::from_millis(250);
/// Size of one read.
const READ_BYTES: usize = 4 * 1024;

/// Response that a server may send behind one that does not match its request.
///
/// Its connection counts as leased until the response is read.
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
    /// Returns `None` if none matches within 250 ms and 64 KiB. The unmatched response has to be
    /// dropped before, so that its connection ends.
    pub async fn read(
        self,
        is_match: impl Fn(StatusCode, &HeaderMap) -> bool,
    ) -> Option<(StatusCode, HeaderMap)> {
        timeout(MAX_LATE_TIME, self.read_until(is_match))
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
            recorded,
        } = self.released.await.ok()?;
        let mut scanner = ResponseScanner::default();
        scanner.push(&recorded);
        let mut read_bytes = recorded.len();
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
