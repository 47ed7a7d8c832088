//! Connection of a caller that is closed without losing the end of the last answer.

use std::io;
use std::os::fd::AsFd;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep, sleep_until};

use super::connection_activity::ConnectionActivity;

/// Time after the last bytes of an answer in which the caller may still have to read them.
const LINGER_TIME: Duration = Duration::from_secs(1);
/// Bytes that are read and discarded at a time meanwhile.
const DISCARD_BYTES: usize = 4 * 1024;

/// Stream whose shutdown closes the sending half first and then reads until the caller closes.
///
/// A socket that is closed while bytes are unread, or to which bytes come later, resets the connection, and what its
/// caller has not read yet of the last answer is lost.
#[derive(Debug)]
pub struct LingeringStream {
    socket: TcpStream,
    activity: Arc<ConnectionActivity>,
    /// Time until which the caller may still have to read what was written.
    unread_until: Option<Instant>,
    linger_end: Option<Pin<Box<Sleep>>>,
}

impl LingeringStream {
    pub(super) const fn new(socket: TcpStream, activity: Arc<ConnectionActivity>) -> Self {
        Self {
            socket,
            activity,
            unread_until: None,
            linger_end: None,
        }
    }

    fn record_write(&mut self, result: &Poll<io::Result<usize>>) {
        self.activity.record_write(result.is_pending());
        if result.is_ready() {
            self.unread_until = Some(Instant::now() + LINGER_TIME);
        }
    }
}

impl AsyncRead for LingeringStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buf.filled().len();
        let result = Pin::new(&mut self.socket).poll_read(cx, buf);
        if buf.filled().len() > filled_before {
            self.activity.record_input();
        } else if self.activity.take_check() {
            self.activity.record_check(has_input(&self.socket));
        }
        result
    }
}

impl AsyncWrite for LingeringStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.socket).poll_write(cx, buf);
        self.record_write(&result);
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.linger_end.is_none() {
            ready!(Pin::new(&mut self.socket).poll_shutdown(cx))?;
            let Some(unread_until) = self.unread_until else {
                return Poll::Ready(Ok(()));
            };
            self.linger_end = Some(Box::pin(sleep_until(unread_until)));
        }
        let is_over = |stream: &mut Self, cx: &mut Context<'_>| {
            let linger_end = stream.linger_end.as_mut();
            linger_end.is_none_or(|linger_end| linger_end.as_mut().poll(cx).is_ready())
        };
        let mut discarded = [0; DISCARD_BYTES];
        while !is_over(&mut self, cx) {
            let mut buffer = ReadBuf::new(&mut discarded);
            // After an error the connection is closed, as it is after the end.
            let read = ready!(Pin::new(&mut self.socket).poll_read(cx, &mut buffer));
            if read.is_err() || buffer.filled().is_empty() {
                break;
            }
        }
        Poll::Ready(Ok(()))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.socket).poll_write_vectored(cx, bufs);
        self.record_write(&result);
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }
}

impl Drop for LingeringStream {
    /// Resets the connection if an answer without a framing was cut, as its end would look whole.
    fn drop(&mut self) {
        let is_cut = self.linger_end.is_none() && self.unread_until.is_some();
        if is_cut && self.activity.is_unframed() {
            // On an error the connection is closed without a reset, as it would be otherwise.
            let _linger_result = self.socket.set_zero_linger();
        }
    }
}

/// Returns whether bytes wait in the socket, also if the runtime has not noticed them yet.
fn has_input(socket: &TcpStream) -> bool {
    let Ok(descriptor) = socket.as_fd().try_clone_to_owned() else {
        // No descriptor is left to look through; the wait for it is bounded.
        return true;
    };
    let peeked = std::net::TcpStream::from(descriptor).peek(&mut [0]);
    peeked.is_ok_and(|bytes| bytes > 0)
}
