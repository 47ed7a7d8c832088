//! Listener for callers' connections.

use std::convert::Infallible;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::TokioTimer;
use teaselglade_net::server::{OpenConnections, bind_listener, close_listener};
use teaselglade_routing::table::IngressLimits;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;
use tracing::{info, warn};

use crate::relay::serve_call;
use crate::state::HostState;

/// Delay before the next accept after a failed one, such as when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time that an idle connection stays open beyond the idle timeout.
///
/// Callers reuse connections until the timeout; the margin covers the network delay.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_secs(2);
/// Smallest read buffer that the HTTP library accepts.
const MIN_BUFFER_BYTES: usize = 8 * 1024;

/// Accepts callers' connections and serves their requests.
#[derive(Debug)]
pub struct CallerListener {
    listener: TcpListener,
    host: Arc<HostState>,
    connections: Arc<OpenConnections>,
}

impl CallerListener {
    /// Binds the address for callers.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub fn bind(host: Arc<HostState>) -> io::Result<Self> {
        let listener = bind_listener(host.settings.listen.callers)?;
        Ok(Self {
            listener,
            host,
            connections: Arc::default(),
        })
    }

    /// Returns the open connections, which are served on if the listener fails.
    #[must_use]
    pub fn connections(&self) -> Arc<OpenConnections> {
        Arc::clone(&self.connections)
    }

    /// Serves until `shutdown` is cancelled, then waits for open requests.
    ///
    /// It waits until the time that the host's shutdown plan sets.
    pub async fn serve(self, shutdown: CancellationToken) {
        let open = self.connections;
        loop {
            tokio::select! {
                accepted = self.listener.accept() => match accepted {
                    Ok((stream, _caller)) => serve_connection(&self.host, stream, &open),
                    Err(error) => {
                        warn!(event = "accept_failed", error = %error);
                        sleep(ACCEPT_RETRY_DELAY).await;
                    }
                },
                () = shutdown.cancelled() => break,
            }
        }
        let mut queued_connections = 0;
        match close_listener(self.listener) {
            Ok(queued) => {
                queued_connections = queued.len();
                for (stream, _caller) in queued {
                    serve_connection(&self.host, stream, &open);
                }
            }
            Err(error) => warn!(event = "queued_connections_lost", error = %error),
        }
        let open_connections = open.count();
        let accepted_until = self.host.now();
        let plan = self.host.begin_shutdown(accepted_until);
        let drain_timeout = plan.answers_end_at().since(accepted_until);
        let requests = self.host.lock_open_requests().len();
        info!(
            event = "accepting_ended",
            connections = open_connections,
            queued = queued_connections,
            requests,
            drain_ms = drain_timeout.as_millis() as u64,
        );
        let drained = open.shut_down();
        let is_drained = timeout(drain_timeout, drained).await.is_ok();
        info!(
            event = "callers_drained",
            connections = open_connections,
            is_drained,
            requests_before = requests,
            requests = self.host.lock_open_requests().len(),
            waited_ms = self.host.now().since(accepted_until).as_millis() as u64,
        );
    }
}

/// Serves the requests of one connection in a task of its own.
fn serve_connection(host: &Arc<HostState>, stream: TcpStream, open: &OpenConnections) {
    // Otherwise small events wait for acknowledgements. On an error the connection still works.
    let _nodelay_result = stream.set_nodelay(true);
    let host = Arc::clone(host);
    let limits = host.table().map_or_else(IngressLimits::default, |active| {
        active.table.spec().limits.clone()
    });
    let service = service_fn(move |request| {
        let host = Arc::clone(&host);
        async move { Ok::<_, Infallible>(serve_call(host, request).await) }
    });
    let served = open.serve(stream, service, move |io, service| {
        Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(limits.idle_timeout.max(limits.head_timeout) + IDLE_TIMEOUT_MARGIN)
            .max_buf_size(limits.head_bytes.max(MIN_BUFFER_BYTES))
            .serve_connection(io, service)
    });
    tokio::spawn(served);
}
