//! Takes callers' connections.

use std::convert::Infallible;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use teaselglade_net::server::bind_listener;
use teaselglade_routing::table::IngressLimits;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;
use tracing::{info, warn};

use crate::relay::serve_call;
use crate::state::HostState;

/// Pause after a failed accept, as when descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Time beyond the idle timeout after which an idle connection is closed.
///
/// Callers use connections up to the timeout; the margin covers the way here.
const IDLE_MARGIN: Duration = Duration::from_secs(2);
/// Smallest buffer that the HTTP library accepts.
const MIN_BUFFER: usize = 8 * 1024;

/// Takes callers' connections.
#[derive(Debug)]
pub struct CallerListener {
    listener: TcpListener,
    host: Arc<HostState>,
}

impl CallerListener {
    /// Binds the address for callers.
    ///
    /// # Errors
    ///
    /// Fails where the address cannot be bound.
    pub fn bind(host: Arc<HostState>) -> io::Result<Self> {
        let listener = bind_listener(host.settings.listen.callers)?;
        Ok(Self { listener, host })
    }

    /// Serves until `closing` is cancelled, then lets open requests end within `within`.
    pub async fn serve(self, closing: CancellationToken, within: Duration) {
        let graceful = GracefulShutdown::new();
        loop {
            tokio::select! {
                accepted = self.listener.accept() => match accepted {
                    Ok((stream, _caller)) => self.serve_connection(stream, &graceful),
                    Err(error) => {
                        warn!(event = "accept_failed", error = %error);
                        sleep(ACCEPT_PAUSE).await;
                    }
                },
                () = closing.cancelled() => break,
            }
        }
        drop(self.listener);
        let open = graceful.count();
        let is_drained = timeout(within, graceful.shutdown()).await.is_ok();
        info!(event = "callers_drained", connections = open, is_drained);
    }

    fn serve_connection(&self, stream: TcpStream, graceful: &GracefulShutdown) {
        // Without it, small events wait for acknowledgements; the connection works all the same.
        let _delayed = stream.set_nodelay(true);
        let host = Arc::clone(&self.host);
        let limits = host.table().map_or_else(IngressLimits::default, |held| {
            held.table.spec().limits.clone()
        });
        let service = service_fn(move |request| {
            let host = Arc::clone(&host);
            async move { Ok::<_, Infallible>(serve_call(host, request).await) }
        });
        let connection = Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(limits.idle_timeout.max(limits.head_timeout) + IDLE_MARGIN)
            .max_buf_size(limits.head_bytes.max(MIN_BUFFER))
            .serve_connection(TokioIo::new(stream), service);
        let connection = graceful.watch(connection);
        tokio::spawn(async move {
            // A caller that breaks its connection off concerns its own requests only.
            let _broken = connection.await;
        });
    }
}
