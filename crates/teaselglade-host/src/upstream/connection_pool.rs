//! Pool of connections to backend servers.

use std::collections::HashMap;
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
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

use super::{Result, SendError};

/// Longest time for a new connection; servers stand milliseconds away.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Idle time after which a connection is not used again where the server names none.
const DEFAULT_IDLE: Duration = Duration::from_secs(4);
/// Time before a server's idle timeout in which its connection is not used any more.
///
/// Covers the way there and the precision of a timeout in whole seconds.
const IDLE_MARGIN: Duration = Duration::from_millis(1_200);
/// Part of a server's connections that one host may hold, besides its equal part.
///
/// Work is uneven between hosts, so that twice the equal part is rarely needed.
const UNEVEN: u32 = 2;

type Sender = SendRequest<Full<Bytes>>;

#[derive(Debug)]
struct IdleConnection {
    sender: Sender,
    usable_until: Instant,
}

#[derive(Debug, Default)]
struct ServerConnections {
    idle: Vec<IdleConnection>,
    leased: u32,
}

type Shelves = Arc<Mutex<HashMap<ServerKey, ServerConnections>>>;

/// Pool of connections to backend servers, each used by one request at a time.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    shelves: Shelves,
}

/// Connection that one request uses.
///
/// Dropped without [`LeasedConnection::return_to_pool`] it is closed, which tells the server that
/// nobody waits any more.
#[derive(Debug)]
pub struct LeasedConnection {
    sender: Option<Sender>,
    server: ServerKey,
    shelves: Shelves,
    /// Whether the connection was used before.
    pub is_reused: bool,
}

impl ConnectionPool {
    /// Returns an idle connection, or opens one.
    ///
    /// # Errors
    ///
    /// Fails where no connection is made in time, or `most` are in use. Nothing was sent.
    pub async fn lease(
        &self,
        server: ServerKey,
        address: SocketAddr,
        most: u32,
        fresh_only: bool,
    ) -> Result<LeasedConnection> {
        let idle = self.take(server, most, fresh_only)?;
        let mut lease = LeasedConnection {
            is_reused: idle.is_some(),
            sender: idle,
            server,
            shelves: Arc::clone(&self.shelves),
        };
        if lease.sender.is_none() {
            lease.sender = Some(connect(address).await?);
        }
        Ok(lease)
    }

    /// Closes idle connections of servers for which `keep` is false, and those out of date.
    pub fn prune(&self, keep: impl Fn(ServerKey) -> bool) {
        let now = Instant::now();
        let mut shelves = self.shelves.lock().unwrap_or_else(PoisonError::into_inner);
        shelves.retain(|server, connections| {
            let kept = keep(*server);
            connections.idle.retain(|idle| kept && is_usable(idle, now));
            !connections.idle.is_empty() || connections.leased > 0
        });
    }

    /// Returns the connections that one host may hold to a server with a bound.
    #[must_use]
    pub fn max_per_host(max_connections: u32, hosts: u32) -> u32 {
        (max_connections * UNEVEN / hosts.max(1)).clamp(1, max_connections.max(1))
    }

    fn take(&self, server: ServerKey, most: u32, fresh_only: bool) -> Result<Option<Sender>> {
        let now = Instant::now();
        let mut shelves = self.shelves.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = shelves.entry(server).or_default();
        if connections.leased >= most {
            let detail = format!("{most} connections are in use");
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
    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// Fails where the connection breaks first; the error tells whether anything was sent.
    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>> {
        let Some(sender) = self.sender.as_mut() else {
            return Err(SendError::new(
                SendProgress::NotSent,
                "the connection is closed",
            ));
        };
        if let Err(error) = sender.ready().await {
            return Err(SendError::new(SendProgress::NotSent, error.to_string()));
        }
        sender
            .try_send_request(request)
            .await
            .map_err(|mut failed| {
                let progress = match failed.take_message() {
                    Some(_unsent) => SendProgress::NotSent,
                    None => SendProgress::MaybeSent,
                };
                SendError::new(progress, failed.error().to_string())
            })
    }

    /// Keeps the connection for later requests, after a whole answer with these headers.
    pub fn return_to_pool(mut self, headers: &HeaderMap) {
        let Some(sender) = self.sender.take() else {
            return;
        };
        let closes = headers
            .get_all(hyper::header::CONNECTION)
            .iter()
            .any(|value| {
                value
                    .to_str()
                    .is_ok_and(|text| text.to_ascii_lowercase().contains("close"))
            });
        if closes || sender.is_closed() {
            return;
        }
        let idle = IdleConnection {
            sender,
            usable_until: Instant::now() + idle_span(headers),
        };
        let mut shelves = self.shelves.lock().unwrap_or_else(PoisonError::into_inner);
        shelves.entry(self.server).or_default().idle.push(idle);
    }
}

impl Drop for LeasedConnection {
    fn drop(&mut self) {
        let mut shelves = self.shelves.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(connections) = shelves.get_mut(&self.server) {
            connections.leased = connections.leased.saturating_sub(1);
        }
    }
}

async fn connect(address: SocketAddr) -> Result<Sender> {
    let not_sent = |detail: String| SendError::new(SendProgress::NotSent, detail);
    let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return Err(not_sent(error.to_string())),
        Err(_elapsed) => return Err(not_sent(format!("no connection in {CONNECT_TIMEOUT:?}"))),
    };
    // Without it, small requests wait for acknowledgements; the connection works all the same.
    let _delayed = stream.set_nodelay(true);
    // A connection that is given up is reset, so that a cut link delivers nothing later of what was
    // sent on it. Without the option the request may reach its server when the link heals.
    let _lingering = stream.set_zero_linger();
    let shaken = handshake(TokioIo::new(stream)).await;
    let (sender, connection) = shaken.map_err(|error| not_sent(error.to_string()))?;
    tokio::spawn(async move {
        // Requests on the connection learn of its end by themselves.
        let _ended = connection.await;
    });
    Ok(sender)
}

fn is_usable(idle: &IdleConnection, now: Instant) -> bool {
    now < idle.usable_until && idle.sender.is_ready()
}

/// Returns for how long a connection may be used after an answer with these headers.
fn idle_span(headers: &HeaderMap) -> Duration {
    let named = headers
        .get("keep-alive")
        .and_then(|value| value.to_str().ok());
    let seconds = named.and_then(|text| {
        let mut fields = text.split(',').map(str::trim);
        fields
            .find_map(|field| field.strip_prefix("timeout="))?
            .parse()
            .ok()
    });
    let span = seconds.map_or(DEFAULT_IDLE, Duration::from_secs);
    span.saturating_sub(IDLE_MARGIN)
}
