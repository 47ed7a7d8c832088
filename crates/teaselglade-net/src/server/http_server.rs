//! HTTP server with graceful shutdown.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper_util::rt::TokioExecutor;
use hyper_util::server::conn::auto::Builder;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{sleep, timeout};
use tokio_util::sync::{CancellationToken, DropGuard};
use viz::{Request, Responder, Router, Tree};

use super::drain::close_listener;
use super::open_connections::OpenConnections;

/// Maximum number of connections that wait to be accepted.
///
/// In a larger burst, each connection beyond the backlog is delayed by a second.
const BACKLOG: u32 = 4_096;
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Binds a listening socket whose backlog holds bursts of new connections.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub fn bind_listener(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// HTTP server that is bound to an address but not started.
#[derive(Debug)]
pub struct HttpServer {
    listener: TcpListener,
}

impl HttpServer {
    /// Binds a server to an address.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn bind(address: SocketAddr) -> io::Result<Self> {
        let listener = bind_listener(address)?;
        Ok(Self { listener })
    }

    /// Returns the address that the server is bound to.
    ///
    /// # Errors
    ///
    /// Fails if the operating system does not report the address of the socket.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves `router` on a new task.
    ///
    /// Handlers get the address of the caller from [`caller_address`](super::caller_address).
    #[must_use]
    pub fn start(self, router: Router) -> ServerHandle {
        let stopped = CancellationToken::new();
        let stop = stopped.clone().drop_guard();
        let task = tokio::spawn(accept_until_stopped(self.listener, router.into(), stopped));
        ServerHandle { stop, task }
    }
}

/// Handle of a running HTTP server, which stops gracefully when the handle is dropped.
#[derive(Debug)]
pub struct ServerHandle {
    stop: DropGuard,
    task: JoinHandle<()>,
}

impl ServerHandle {
    /// Stops listening and waits until open responses have ended.
    pub async fn stop(self) {
        drop(self.stop);
        // If the server task panicked, there is nothing left to wait for.
        let _ended = self.task.await;
    }

    /// Stops as [`stop`](Self::stop) does, but aborts what is still open after `limit`.
    ///
    /// Returns whether every open response ended in time. A caller that never ends its request would
    /// otherwise keep the server forever.
    pub async fn stop_within(self, limit: Duration) -> bool {
        drop(self.stop);
        let mut task = self.task;
        let is_ended = timeout(limit, &mut task).await.is_ok();
        if !is_ended {
            task.abort();
            // The task ends with the error that it was aborted.
            let _aborted = task.await;
        }
        is_ended
    }

    /// Aborts the server and its open connections at once, as a crash would.
    pub fn abort(self) {
        self.task.abort();
    }
}

/// Returns the address that a request came from, if it is known.
#[must_use]
pub fn caller_address(request: &Request) -> Option<SocketAddr> {
    request
        .extensions()
        .get::<Option<SocketAddr>>()
        .copied()
        .flatten()
}

async fn accept_until_stopped(listener: TcpListener, tree: Tree, stopped: CancellationToken) {
    let tree = Arc::new(tree);
    let open = OpenConnections::default();
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, caller)) => {
                    serve_connection(stream, caller, &tree, &open, &mut connections);
                }
                Err(_error) => sleep(ACCEPT_RETRY_DELAY).await,
            },
            Some(_ended) = connections.join_next() => {}
            () = stopped.cancelled() => break,
        }
    }
    match close_listener(listener) {
        Ok(queued) => {
            for (stream, caller) in queued {
                serve_connection(stream, caller, &tree, &open, &mut connections);
            }
        }
        Err(error) => log::warn!("connections in the queue are lost: {error}"),
    }
    open.shut_down().await;
}

fn serve_connection(
    stream: TcpStream,
    caller: SocketAddr,
    tree: &Arc<Tree>,
    open: &OpenConnections,
    connections: &mut JoinSet<()>,
) {
    // If the option cannot be set, small frames wait for acknowledgements, but nothing fails.
    let _delayed = stream.set_nodelay(true);
    let responder = Responder::new(Arc::clone(tree), Some(caller));
    let served = open.serve(stream, responder, |io, service| {
        let builder = Builder::new(TokioExecutor::new());
        builder.serve_connection(io, service).into_owned()
    });
    connections.spawn(served);
}
