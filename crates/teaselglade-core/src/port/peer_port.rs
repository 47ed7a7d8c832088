//! Port to the other entry hosts, called peers.

use std::fmt::{self, Debug};
use std::net::SocketAddr;

use bytes::Bytes;

use super::PortFuture;

/// Failure of a call to a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerError {
    /// What went wrong.
    pub detail: String,
}

impl fmt::Display for PeerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the peer did not answer: {}", self.detail)
    }
}

impl std::error::Error for PeerError {}

/// Client of peers; requests and responses are `MessagePack` messages.
pub trait PeerPort: Debug + Send + Sync {
    /// Sends `body` to `path` at a peer and returns the response body.
    fn send<'a>(
        &'a self,
        peer: SocketAddr,
        path: &'a str,
        body: Bytes,
    ) -> PortFuture<'a, Result<Bytes, PeerError>>;
}
