//! Calls to the HTTP API of peers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde::de::DeserializeOwned;
use teaselglade_net::client::{HttpClient, HttpRequest, HttpResponse};
use tracing::{debug, info, warn};

use super::peer_api::{STATE_PATH, TABLE_PATH};
use super::{PeerState, TableState};
use crate::port::{PackedTable, PublishedTable};
use crate::state::HostState;

/// Maximum time until the head of a peer's response, and until each part of its body.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);
/// Table version in the path of a call that returns no table.
const NO_TABLE: u64 = u64::MAX;
/// Delay assumed if a busy peer names none.
const DEFAULT_BUSY_DELAY: Duration = Duration::from_millis(100);
/// Longest delay that is accepted from a busy peer.
const MAX_BUSY_DELAY: Duration = Duration::from_secs(2);

const NOT_FOUND: u16 = 404;
const SERVICE_UNAVAILABLE: u16 = 503;

/// Outcome of fetching a table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum FetchOutcome {
    /// A newer table is active now.
    Activated,
    /// The peer has no bandwidth left for this time.
    Busy(Duration),
    /// The peer did not return a newer table.
    Failed,
}

/// Client of the HTTP API of peers, which applies what it fetches to the host.
#[derive(Debug)]
pub(super) struct PeerClient {
    host: Arc<HostState>,
    client: HttpClient,
}

impl PeerClient {
    /// Creates a client without connections.
    pub(super) fn new(host: Arc<HostState>) -> Self {
        Self {
            host,
            client: HttpClient::default(),
        }
    }

    /// Fetches a peer's servers and returns them with the version of its table.
    pub(super) async fn fetch_state(&self, peer: SocketAddr) -> Option<PeerState> {
        let response = self.call(peer, STATE_PATH, NO_TABLE).await?;
        decode(peer, &response)
    }

    /// Fetches a newer table from a peer and activates it.
    pub(super) async fn fetch_table(&self, peer: SocketAddr) -> FetchOutcome {
        let version = self.host.table_version();
        let Some(response) = self.call(peer, TABLE_PATH, version).await else {
            return FetchOutcome::Failed;
        };
        let is_activated = match response.status {
            SERVICE_UNAVAILABLE => return FetchOutcome::Busy(busy_delay(&response)),
            // A peer of an earlier build returns its table with its state, as published.
            NOT_FOUND => self.fetch_published_table(peer, version).await,
            _ => {
                let state = decode::<TableState>(peer, &response);
                state.is_some_and(|state| self.activate_packed(peer, state))
            }
        };
        if is_activated {
            FetchOutcome::Activated
        } else {
            FetchOutcome::Failed
        }
    }

    async fn fetch_published_table(&self, peer: SocketAddr, version: u64) -> bool {
        let Some(response) = self.call(peer, STATE_PATH, version).await else {
            return false;
        };
        let state = decode::<PeerState>(peer, &response);
        state.is_some_and(|state| self.activate(peer, &state.table, None))
    }

    fn activate_packed(&self, peer: SocketAddr, state: TableState) -> bool {
        let Some(packed) = state.table else {
            return false;
        };
        let is_activated = match packed.unpack() {
            Ok(raw) => self.activate(peer, &raw, Some(packed)),
            Err(error) => {
                warn!(event = "peer_table_unreadable", peer = %peer, error = %error);
                false
            }
        };
        if self.host.table_version() >= state.version {
            self.host.advance_table_position(state.position);
        }
        is_activated
    }

    /// Activates a table if it is newer than the active one and returns whether it was.
    fn activate(&self, peer: SocketAddr, raw: &Bytes, packed: Option<PackedTable>) -> bool {
        if raw.is_empty() {
            return false;
        }
        match self.host.ports.feeds.decode_table(raw) {
            Ok(spec) => {
                let raw = raw.clone();
                let published = PublishedTable { spec, raw, packed };
                self.host.activate_table(published, "peer")
            }
            Err(error) => {
                warn!(event = "peer_table_unreadable", peer = %peer, error = %error);
                false
            }
        }
    }

    /// Calls a peer and returns its response if it is a success, 503 or 404; counts and logs others.
    async fn call(&self, peer: SocketAddr, path: &str, version: u64) -> Option<HttpResponse> {
        let request = HttpRequest::get(peer, format!("{path}{version}"))
            .head_timeout(RESPONSE_TIMEOUT)
            .stall_timeout(RESPONSE_TIMEOUT);
        let started_at = self.host.now();
        let response = self.client.call(request).await;
        let elapsed_ms = self.host.now().since(started_at).as_millis() as u64;
        let metrics = &self.host.metrics;
        let count = |outcome| metrics.peer_fetches.with_label_values(&[outcome]).inc();
        match response {
            Ok(response) if response.is_success() => {
                count("ok");
                let bytes = response.body.len() as u64;
                metrics.peer_fetch_bytes.inc_by(bytes);
                debug!(event = "peer_fetched", peer = %peer, path, elapsed_ms, bytes);
                Some(response)
            }
            Ok(response) if response.status == SERVICE_UNAVAILABLE => {
                count("busy");
                Some(response)
            }
            Ok(response) => {
                count("refused");
                warn!(event = "peer_refused", peer = %peer, path, status = response.status);
                (response.status == NOT_FOUND).then_some(response)
            }
            Err(error) => {
                count("failed");
                info!(event = "peer_silent", peer = %peer, path, elapsed_ms, error = %error);
                None
            }
        }
    }
}

/// Decodes a successful response.
fn decode<T: DeserializeOwned>(peer: SocketAddr, response: &HttpResponse) -> Option<T> {
    if !response.is_success() {
        return None;
    }
    match rmp_serde::from_slice(&response.body) {
        Ok(state) => Some(state),
        Err(error) => {
            warn!(event = "peer_unreadable", peer = %peer, error = %error);
            None
        }
    }
}

/// Returns the delay that a busy peer names in seconds, or a default.
fn busy_delay(response: &HttpResponse) -> Duration {
    let seconds = response.header("retry-after");
    let seconds = seconds.and_then(|seconds| seconds.parse::<f64>().ok());
    let delay = seconds.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
    delay.map_or(DEFAULT_BUSY_DELAY, |delay| delay.min(MAX_BUSY_DELAY))
}
