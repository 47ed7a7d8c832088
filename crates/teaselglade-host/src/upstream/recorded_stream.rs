//! Stream to a server that records the heads of what is read.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::oneshot;

use super::response_scanner::ResponseScanner;

/// Number of recorded bytes from which bodies are scanned and dropped.
const SCAN_BYTES: usize = 16 * 1024;

/// Stream that is no longer used by its connection, with the heads of what was read since a request.
#[derive(Debug)]
pub(super) struct ReleasedStream {
    pub(super) stream: TcpStream,
    pub(super) scanner: ResponseScanner,
}

#[derive(Debug, Default)]
struct StreamRecord {
    scanner: ResponseScanner,
    is_recording: bool,
    release: Option<oneshot::Sender<ReleasedStream>>,
    /// Stream of a connection that ended before its response was judged.
    ended: Option<TcpStream>,
}

impl StreamRecord {
    fn append(&mut self, bytes: &[u8]) {
        if !self.is_recording {
            return;
        }
        self.scanner.push(bytes);
        if self.scanner.unscanned_bytes() > SCAN_BYTES {
            self.scanner.compact();
        }
    }

    /// Sends the stream to whoever reads on; it is closed if nobody does any more.
    fn hand_over(&mut self, release: oneshot::Sender<ReleasedStream>, stream: TcpStream) {
        let scanner = std::mem::take(&mut self.scanner);
        let _unclaimed = release.send(ReleasedStream { stream, scanner });
    }

    fn stop(&mut self) {
        self.is_recording = false;
        self.scanner = ResponseScanner::default();
        self.ended = None;
    }
}

/// Controls the record of a stream.
#[derive(Debug, Clone, Default)]
pub(super) struct RecordHandle {
    record: Arc<Mutex<StreamRecord>>,
}

impl RecordHandle {
    fn lock(&self) -> MutexGuard<'_, StreamRecord> {
        self.record.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Begins to record what is read from now on.
    pub(super) fn start(&self) {
        let mut record = self.lock();
        record.scanner = ResponseScanner::default();
        record.is_recording = true;
    }

    /// Drops what is recorded and records no more.
    pub(super) fn stop(&self) {
        self.lock().stop();
    }

    /// Returns a receiver of the stream, which is sent when its connection drops it.
    ///
    /// Returns `None` if nothing was recorded since a request, as none was sent.
    pub(super) fn release(&self) -> Option<oneshot::Receiver<ReleasedStream>> {
        let mut record = self.lock();
        if !record.is_recording {
            return None;
        }
        let (release, released) = oneshot::channel();
        match record.ended.take() {
            Some(stream) => record.hand_over(release, stream),
            None => record.release = Some(release),
        }
        Some(released)
    }
}

/// Stream to a server that records the heads of what is read until a response is accepted.
#[derive(Debug)]
pub(super) struct RecordedStream {
    /// Present until the stream is dropped.
    stream: Option<TcpStream>,
    handle: RecordHandle,
}

impl RecordedStream {
    pub(super) const fn new(stream: TcpStream, handle: RecordHandle) -> Self {
        Self {
            stream: Some(stream),
            handle,
        }
    }

    /// Returns the stream.
    ///
    /// # Errors
    ///
    /// Fails if the stream was released.
    fn pinned(&mut self) -> io::Result<Pin<&mut TcpStream>> {
        let stream = self.stream.as_mut().map(Pin::new);
        stream.ok_or_else(|| io::ErrorKind::NotConnected.into())
    }
}

impl AsyncRead for RecordedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buf.filled().len();
        let polled = self.pinned()?.poll_read(cx, buf);
        let read = &buf.filled()[filled..];
        if !read.is_empty() {
            self.handle.lock().append(read);
        }
        polled
    }
}

impl AsyncWrite for RecordedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.pinned()?.poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.pinned()?.poll_flush(cx)
    }

    /// Shuts the stream down, unless it may be read on after its connection.
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.handle.lock().is_recording {
            return Poll::Ready(Ok(()));
        }
        self.pinned()?.poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.pinned()?.poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream
            .as_ref()
            .is_some_and(AsyncWrite::is_write_vectored)
    }
}

impl Drop for RecordedStream {
    fn drop(&mut self) {
        let mut record = self.handle.lock();
        match (record.release.take(), self.stream.take()) {
            (Some(release), Some(stream)) => record.hand_over(release, stream),
            (None, stream) if record.is_recording => record.ended = stream,
            _ => {}
        }
    }
}
