//! Pool of connections to backend servers.

use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{HeaderMap, Request, Response};
use hyper_util::rt::TokioIo;
use teaselglade_core::id::ServerKey;
use teaselglade_core::verdict::SendProgress;
use teaselglade_net::client::check_response_head;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

use super::recorded_stream::{RecordHandle, RecordedStream};
use super::{LateResponse, Result, SendError};

/// Longest time to open a connection; servers are milliseconds away.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Idle timeout of a server that sends none in `Keep-Alive`.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Longest idle timeout that is used; a server may state any number of seconds.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_hours(1);
/// Time before a server's idle timeout from which its idle connection is not reused.
///
/// Covers the network delay and the precision of a timeout in whole seconds.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(1_200);
/// Multiple of its equal share of a server's connections that one host may hold.
///
/// Load differs between hosts, but more than twice the equal share is rarely needed.
const HOST_SHARE_FACTOR: u32 = 2;

/// Open connection to a server, with the record of what is read from it.
#[derive(Debug)]
struct Sender {
    requests: SendRequest<Full<Bytes>>,
    record: RecordHandle,
}

/// Connection that waits for its next request.
#[derive(Debug)]
struct IdleConnection {
    sender: Sender,
    usable_until: Instant,
}

/// Connections to one server: those idle, and the number of those leased.
#[derive(Debug, Default)]
struct ServerConnections {
    idle: Vec<IdleConnection>,
    leased: u32,
}

type ServerMap = Arc<Mutex<HashMap<ServerKey, ServerConnections>>>;

/// Pool of HTTP connections to backend servers. Each connection is used by one request at a time.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    servers: ServerMap,
}

/// Connection that one request uses exclusively.
///
/// It is closed when dropped without [`LeasedConnection::return_to_pool`], which tells the server
/// that the caller no longer waits.
#[derive(Debug)]
pub struct LeasedConnection {
    sender: Option<Sender>,
    lease: ConnectionLease,
    /// Whether the connection was used before.
    pub is_reused: bool,
}

/// Counts one connection to a server as leased until it is dropped.
#[derive(Debug)]
pub(super) struct ConnectionLease {
    server: ServerKey,
    servers: ServerMap,
}

impl ConnectionPool {
    /// Leases an idle connection to a server, or opens one.
    ///
    /// With `fresh_only` it always opens one.
    ///
    /// # Errors
    ///
    /// Fails if no connection is made in time or `max_leased` are in use; nothing was sent then.
    pub async fn lease(
        &self,
        server: ServerKey,
        address: SocketAddr,
        max_leased: u32,
        fresh_only: bool,
    ) -> Result<LeasedConnection> {
        let idle = self.check_out(server, max_leased, fresh_only)?;
        let mut lease = LeasedConnection {
            is_reused: idle.is_some(),
            sender: idle,
            lease: ConnectionLease {
                server,
                servers: Arc::clone(&self.servers),
            },
        };
        if lease.sender.is_none() {
            lease.sender = Some(connect(address).await?);
        }
        Ok(lease)
    }

    /// Opens a connection to a server and keeps it idle for a later request.
    ///
    /// # Errors
    ///
    /// Fails if the server accepts no connection in time.
    pub async fn open_idle(&self, server: ServerKey, address: SocketAddr) -> Result<()> {
        let idle = IdleConnection {
            sender: connect(address).await?,
            usable_until: Instant::now() + reuse_window(&HeaderMap::new()),
        };
        let mut servers = self.servers.lock().unwrap_or_else(PoisonError::into_inner);
        servers.entry(server).or_default().idle.push(idle);
        Ok(())
    }

    /// Closes idle connections that have expired or whose server `keep` rejects.
    pub fn prune(&self, keep: impl Fn(ServerKey) -> bool) {
        let now = Instant::now();
        let mut servers = self.servers.lock().unwrap_or_else(PoisonError::into_inner);
        servers.retain(|server, connections| {
            let is_kept = keep(*server);
            connections
                .idle
                .retain(|idle| is_kept && is_usable(idle, now));
            !connections.idle.is_empty() || connections.leased > 0
        });
    }

    /// Returns how many connections to one server each of `hosts` hosts may hold.
    ///
    /// The server accepts `max_connections` from all hosts together.
    #[must_use]
    pub fn max_per_host(max_connections: u32, hosts: u32) -> u32 {
        (max_connections * HOST_SHARE_FACTOR / hosts.max(1)).clamp(1, max_connections.max(1))
    }

    /// Counts one more leased connection and returns an idle one, if one is usable.
    ///
    /// # Errors
    ///
    /// Fails if `max_leased` connections are leased already.
    fn check_out(
        &self,
        server: ServerKey,
        max_leased: u32,
        fresh_only: bool,
    ) -> Result<Option<Sender>> {
        let now = Instant::now();
        let mut servers = self.servers.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = servers.entry(server).or_default();
        if connections.leased >= max_leased {
            let detail = format!("{max_leased} connections are in use");
            return Err(SendError::new(SendProgress::NotSent, detail));
        }
        connections.leased += 1;
        if fresh_only {
            return Ok(None);
        }
        while let Some(idle) = connections.idle.pop() {
            if is_usable(&idle, now) {
                return Ok(Some(idle.sender));
            }
        }
        Ok(None)
    }
}

impl LeasedConnection {
    /// Sends a request and waits for the head of its response.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks first, or the head cannot answer the request; the error says
    /// whether anything may have been sent.
    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>> {
        let Some(sender) = self.sender.as_mut() else {
            return Err(SendError::new(
                SendProgress::NotSent,
                "the connection is closed",
            ));
        };
        if let Err(error) = sender.requests.ready().await {
            return Err(SendError::new(SendProgress::NotSent, error.to_string()));
        }
        sender.record.start();
        let sent = sender.requests.try_send_request(request).await;
        let response = sent.map_err(|mut failed| {
            let progress = match failed.take_message() {
                Some(_unsent) => SendProgress::NotSent,
                None => SendProgress::MaybeSent,
            };
            SendError::new(progress, failed.error().to_string())
        })?;
        let checked = check_response_head(response.status(), response.headers());
        checked.map_err(|error| SendError::new(error.progress, error.detail))?;
        Ok(response)
    }

    /// Drops the record of the response, which matches its request.
    pub fn accept_response(&self) {
        if let Some(sender) = &self.sender {
            sender.record.stop();
        }
    }

    /// Gives the connection up while no response to its request is accepted.
    ///
    /// Returns `None` if no request was sent.
    #[must_use]
    pub fn await_late_response(self) -> Option<LateResponse> {
        let Self { sender, lease, .. } = self;
        let released = sender?.record.release()?;
        Some(LateResponse::new(released, lease))
    }

    /// Returns the connection to the pool after a whole response with these headers.
    ///
    /// It is closed instead if the response or the connection's state forbids reuse.
    pub fn return_to_pool(mut self, headers: &HeaderMap) {
        let Some(sender) = self.sender.take() else {
            return;
        };
        let is_closing = headers
            .get_all(hyper::header::CONNECTION)
            .iter()
            .any(|value| {
                value
                    .to_str()
                    .is_ok_and(|text| text.to_ascii_lowercase().contains("close"))
            });
        if is_closing || sender.requests.is_closed() {
            return;
        }
        let idle = IdleConnection {
            sender,
            usable_until: Instant::now() + reuse_window(headers),
        };
        let lease = &self.lease;
        let mut servers = lease.servers.lock().unwrap_or_else(PoisonError::into_inner);
        servers.entry(lease.server).or_default().idle.push(idle);
    }
}

impl Drop for ConnectionLease {
    fn drop(&mut self) {
        let mut servers = self.servers.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(connections) = servers.get_mut(&self.server) {
            connections.leased = connections.leased.saturating_sub(1);
        }
    }
}

/// Opens a connection to a server.
async fn connect(address: SocketAddr) -> Result<Sender> {
    let not_sent = |detail: String| SendError::new(SendProgress::NotSent, detail);
    let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => {
            let is_refused = error.kind() == ErrorKind::ConnectionRefused;
            return Err(not_sent(error.to_string()).refused(is_refused));
        }
        Err(_elapsed) => return Err(not_sent(format!("no connection in {CONNECT_TIMEOUT:?}"))),
    };
    // Otherwise small requests wait for acknowledgements. On an error the connection still works.
    let _nodelay_result = stream.set_nodelay(true);
    // Resets the connection when it is dropped. Otherwise a request that was sent over a cut link
    // may still reach its server when the link recovers.
    let _linger_result = stream.set_zero_linger();
    let record = RecordHandle::default();
    let recorded = RecordedStream::new(stream, record.clone());
    let handshake_result = handshake(TokioIo::new(recorded)).await;
    let (requests, connection) = handshake_result.map_err(|error| not_sent(error.to_string()))?;
    tokio::spawn(async move {
        // A request on the connection gets its own error when the connection ends.
        let _connection_result = connection.await;
    });
    Ok(Sender { requests, record })
}

/// Returns whether an idle connection is open and its reuse window has not passed.
fn is_usable(idle: &IdleConnection, now: Instant) -> bool {
    now < idle.usable_until && idle.sender.requests.is_ready()
}

/// Returns how long a connection may be reused after a response with these headers.
fn reuse_window(headers: &HeaderMap) -> Duration {
    let keep_alive = headers
        .get("keep-alive")
        .and_then(|value| value.to_str().ok());
    let seconds = keep_alive.and_then(|text| {
        let mut fields = text.split(',').map(str::trim);
        fields
            .find_map(|field| field.strip_prefix("timeout="))?
            .parse()
            .ok()
    });
    let idle_timeout = seconds.map_or(DEFAULT_IDLE_TIMEOUT, Duration::from_secs);
    let idle_timeout = idle_timeout.min(MAX_IDLE_TIMEOUT);
    idle_timeout.saturating_sub(IDLE_TIMEOUT_MARGIN)
}
