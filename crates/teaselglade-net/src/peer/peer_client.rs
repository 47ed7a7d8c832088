//! Client of the other entry hosts, called peers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use teaselglade_core::port::{PeerError, PeerPort, PortFuture};

use crate::client::{HttpClient, HttpRequest};

/// Content type of messages between peers.
pub const PEER_CONTENT_TYPE: &str = "application/msgpack";

const PEER_TIMEOUT: Duration = Duration::from_millis(800);

/// HTTP client of the other entry hosts.
#[derive(Debug)]
pub struct PeerClient {
    client: Arc<HttpClient>,
}

impl PeerClient {
    /// Creates a client that sends its requests through `client`.
    #[must_use]
    pub const fn new(client: Arc<HttpClient>) -> Self {
        Self { client }
    }

    async fn send_message(
        &self,
        peer: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Result<Bytes, PeerError> {
        let request = HttpRequest::post(peer, path, body)
            .header("content-type", PEER_CONTENT_TYPE)
            .head_timeout(PEER_TIMEOUT);
        let response = self.client.call(request).await;
        let response = response.map_err(|error| PeerError {
            detail: error.detail,
        })?;
        if !response.is_success() {
            return Err(PeerError {
                detail: format!("status {}", response.status),
            });
        }
        Ok(response.body)
    }
}

impl PeerPort for PeerClient {
    fn send<'a>(
        &'a self,
        peer: SocketAddr,
        path: &'a str,
        body: Bytes,
    ) -> PortFuture<'a, Result<Bytes, PeerError>> {
        Box::pin(self.send_message(peer, path, body))
    }
}
