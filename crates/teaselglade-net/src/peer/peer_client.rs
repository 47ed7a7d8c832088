//! Client of the other entry hosts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use teaselglade_core::port::{PeerError, PeerPort, PortFuture};

use crate::client::{HttpClient, HttpRequest};

/// Content type of messages between peers.
pub const PEER_CONTENT_TYPE: &str = "application/msgpack";

const PEER_TIMEOUT: Duration = Duration::from_millis(800);

/// Client of the other entry hosts.
#[derive(Debug)]
pub struct PeerClient {
    caller: Arc<HttpClient>,
}

impl PeerClient {
    /// Makes a client that calls over the given connections.
    #[must_use]
    pub const fn new(caller: Arc<HttpClient>) -> Self {
        Self { caller }
    }

    async fn send_message(
        &self,
        peer: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Result<Bytes, PeerError> {
        let call = HttpRequest::post(peer, path, body)
            .header("content-type", PEER_CONTENT_TYPE)
            .head_timeout(PEER_TIMEOUT);
        let answer = self.caller.call(call).await;
        let answer = answer.map_err(|error| PeerError {
            detail: error.detail,
        })?;
        if !answer.is_success() {
            return Err(PeerError {
                detail: format!("status {}", answer.status),
            });
        }
        Ok(answer.body)
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
