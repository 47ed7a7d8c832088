//! What a server does for its last callers when it stops.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};

/// Time after the listener has closed in which open connections may send a last request.
pub const LAST_REQUEST_GRACE: Duration = Duration::from_millis(250);
/// Interval between checks whether connections are open or may be closed.
pub(super) const DRAIN_POLL: Duration = Duration::from_millis(20);

/// Closes a listener and returns the connections that wait in its queue, with their callers.
///
/// Closing it would reset them, although their callers have sent requests.
///
/// # Errors
///
/// Fails if the listener cannot be read; the connections that still wait are reset then.
pub fn close_listener(listener: TcpListener) -> io::Result<Vec<(TcpStream, SocketAddr)>> {
    let listener = listener.into_std()?;
    let mut queued = Vec::new();
    loop {
        match listener.accept() {
            Ok((stream, caller)) => {
                stream.set_nonblocking(true)?;
                queued.push((TcpStream::from_std(stream)?, caller));
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(queued),
            Err(error) => return Err(error),
        }
    }
}
