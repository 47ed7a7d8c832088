//! HTTP server with a graceful shutdown.

use std::io;
use std::net::SocketAddr;

use futures::FutureExt;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use viz::Router;

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
        Ok(Self {
            listener: TcpListener::bind(address).await?,
        })
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
    #[must_use]
    pub fn start(self, router: Router) -> ServerHandle {
        let (stop, mut stopped) = watch::channel(false);
        let signal = async move {
            // A dropped sender stops the server as well.
            let _closed = stopped.wait_for(|stop| *stop).await;
        };
        let server = viz::serve(self.listener, router).signal(signal.boxed());
        let task = tokio::spawn(async move {
            if let Err(error) = server.await {
                log::error!("http server ended: {error}");
            }
        });
        ServerHandle { stop, task }
    }
}

/// Running HTTP server.
#[derive(Debug)]
pub struct ServerHandle {
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl ServerHandle {
    /// Stops listening, lets open answers end and waits for them.
    pub async fn stop(self) {
        self.stop.send_replace(true);
        // A server task that panicked has nothing left to wait for.
        let _ended = self.task.await;
    }

    /// Ends the server at once, as a crash would.
    pub fn abort(self) {
        self.task.abort();
    }
}
