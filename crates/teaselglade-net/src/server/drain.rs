//! What a server does for its last callers when it stops.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep};

/// Time after the listener has closed in which open connections may send a last request.
pub const LAST_REQUEST_GRACE: Duration = Duration::from_millis(250);
/// Interval between checks whether any connection is open in that time.
const DRAIN_POLL: Duration = Duration::from_millis(20);

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

/// Shuts down open connections after their last requests.
///
/// The HTTP library closes a connection from which it has read nothing yet, and an idle one, as soon as it
/// shuts down. So this first waits [`LAST_REQUEST_GRACE`], or until no connection is open, for requests that are on
/// their way.
pub async fn shut_down_connections(graceful: GracefulShutdown) {
    let deadline = Instant::now() + LAST_REQUEST_GRACE;
    while graceful.count() > 0 && Instant::now() < deadline {
        sleep(DRAIN_POLL).await;
    }
    graceful.shutdown().await;
}
