//! HTTP server with a graceful shutdown.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto::Builder;
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::sleep;
use tokio_util::sync::{CancellationToken, DropGuard};
use viz::{Request, Responder, Router, Tree};

/// Connections that wait to be accepted; a burst beyond it is held up by a second each.
const BACKLOG: u32 = 4_096;
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

/// Binds a listening socket that holds bursts of new connections.
///
/// # Errors
///
/// Fails where the address cannot be bound.
pub fn bind_listener(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Listening socket that is not served yet.
#[derive(Debug)]
pub struct HttpServer {
    listener: TcpListener,
}

impl HttpServer {
    /// Binds a listening socket.
    ///
    /// # Errors
    ///
    /// Fails where the address cannot be bound.
    pub async fn bind(address: SocketAddr) -> io::Result<Self> {
        let listener = bind_listener(address)?;
        Ok(Self { listener })
    }

    /// Returns the address that the socket got.
    ///
    /// # Errors
    ///
    /// Fails where the socket is closed.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves `router` on a task of its own.
    ///
    /// A request's handler learns its caller by [`caller_address`](super::caller_address).
    #[must_use]
    pub fn start(self, router: Router) -> ServerHandle {
        let stopped = CancellationToken::new();
        let stop = stopped.clone().drop_guard();
        let task = tokio::spawn(accept_until_stopped(self.listener, router.into(), stopped));
        ServerHandle { stop, task }
    }
}

/// Running HTTP server; dropped, it stops gracefully.
#[derive(Debug)]
pub struct ServerHandle {
    stop: DropGuard,
    task: JoinHandle<()>,
}

impl ServerHandle {
    /// Stops listening, lets open answers end and waits for them.
    pub async fn stop(self) {
        drop(self.stop);
        // A server task that panicked has nothing left to wait for.
        let _ended = self.task.await;
    }

    /// Ends the server and its open connections at once, as a crash would.
    pub fn abort(self) {
        self.task.abort();
    }
}

/// Returns the address that a request came from.
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
    let graceful = GracefulShutdown::new();
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, caller)) => {
                    serve_connection(stream, caller, &tree, &graceful, &mut connections);
                }
                Err(_error) => sleep(ACCEPT_RETRY).await,
            },
            Some(_ended) = connections.join_next() => {}
            () = stopped.cancelled() => break,
        }
    }
    drop(listener);
    graceful.shutdown().await;
}

fn serve_connection(
    stream: TcpStream,
    caller: SocketAddr,
    tree: &Arc<Tree>,
    graceful: &GracefulShutdown,
    connections: &mut JoinSet<()>,
) {
    // Without it, small frames wait for acknowledgements; the connection works all the same.
    let _delayed = stream.set_nodelay(true);
    let responder = Responder::new(Arc::clone(tree), Some(caller));
    let builder = Builder::new(TokioExecutor::new());
    let connection = builder
        .serve_connection(TokioIo::new(stream), responder)
        .into_owned();
    let connection = graceful.watch(connection);
    connections.spawn(async move {
        // A caller that breaks its connection off concerns its own requests only.
        let _broken = connection.await;
    });
}
