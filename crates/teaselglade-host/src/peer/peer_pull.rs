//! Fetches newer tables and missing server updates from peers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use teaselglade_net::client::{HttpClient, HttpRequest};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::{sleep, timeout};
use tracing::{debug, info, warn};

use super::PeerState;
use super::peer_api::STATE_PATH;
use crate::port::PublishedTable;
use crate::state::HostState;

/// Maximum time until the head of a peer's response, and until each part of its body.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval between checks for stale registration data.
const CHECK_INTERVAL: Duration = Duration::from_millis(400);
/// Age from which registration data is stale, so that peers are queried for it.
const STALENESS_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Maximum number of peers queried per check.
const MAX_QUERIED_PEERS: usize = 2;
/// Maximum number of peers that a host queries before it reads the store.
const MAX_FIRST_CONTACTS: usize = 4;
/// Maximum time for which a host that starts waits until it knows a peer.
const DISCOVERY_WAIT: Duration = Duration::from_millis(200);
/// Interval between checks for a known peer during that time.
const DISCOVERY_POLL: Duration = Duration::from_millis(10);

/// Fetches tables that digests announce, and servers while registration data is stale.
///
/// Registration data becomes stale when neither the store nor digests deliver updates. Runs until
/// the sender of table announcements is dropped.
pub async fn pull_from_peers(
    host: Arc<HostState>,
    mut newer_tables: UnboundedReceiver<SocketAddr>,
) {
    let client = HttpClient::default();
    loop {
        match timeout(CHECK_INTERVAL, newer_tables.recv()).await {
            Ok(Some(peer)) => {
                while newer_tables.try_recv().is_ok() {}
                pull(&host, &client, peer).await;
            }
            Ok(None) => return,
            Err(_elapsed) => pull_if_stale(&host, &client).await,
        }
    }
}

/// Queries peers once, before this host trusts what it reads from the store.
///
/// Returns when they responded or the time for a response has passed. A host that starts knows only
/// seeds at first, so this waits a moment for the list of hosts.
pub async fn pull_before_store(host: &HostState) {
    let waiting_since = host.now();
    while host.lock_decisions().membership.peer_count() == 0
        && host.now().since(waiting_since) < DISCOVERY_WAIT
    {
        sleep(DISCOVERY_POLL).await;
    }
    let client = HttpClient::default();
    let peers = host
        .lock_decisions()
        .membership
        .first_contacts(MAX_FIRST_CONTACTS);
    let queries = peers.into_iter().map(|peer| pull(host, &client, peer));
    join_all(queries).await;
}

async fn pull_if_stale(host: &HostState, client: &HttpClient) {
    let peers = {
        let decisions = host.lock_decisions();
        if host.now().since(decisions.registry_updated_at) < STALENESS_TIMEOUT {
            return;
        }
        decisions.membership.peers_by_recency()
    };
    for peer in peers.into_iter().take(MAX_QUERIED_PEERS) {
        pull(host, client, peer).await;
    }
}

async fn pull(host: &HostState, client: &HttpClient, peer: SocketAddr) {
    let path = format!("{STATE_PATH}{}", host.table_version());
    let request = HttpRequest::get(peer, path)
        .head_timeout(RESPONSE_TIMEOUT)
        .stall_timeout(RESPONSE_TIMEOUT);
    let started_at = host.now();
    let response = client.call(request).await;
    let elapsed_ms = host.now().since(started_at).as_millis() as u64;
    let fetches = &host.metrics.peer_fetches;
    let response = match response {
        Ok(response) if response.is_success() => response,
        Ok(response) => {
            fetches.with_label_values(&["refused"]).inc();
            warn!(event = "peer_refused", peer = %peer, status = response.status);
            return;
        }
        Err(error) => {
            fetches.with_label_values(&["failed"]).inc();
            info!(event = "peer_silent", peer = %peer, elapsed_ms, error = %error);
            return;
        }
    };
    fetches.with_label_values(&["ok"]).inc();
    let bytes = response.body.len() as u64;
    host.metrics.peer_fetch_bytes.inc_by(bytes);
    debug!(event = "peer_fetched", peer = %peer, elapsed_ms, bytes);
    match rmp_serde::from_slice(&response.body) {
        Ok(state) => apply_state(host, peer, state),
        Err(error) => warn!(event = "peer_unreadable", peer = %peer, error = %error),
    }
}

fn apply_state(host: &HostState, peer: SocketAddr, state: PeerState) {
    if !state.table.is_empty() {
        match host.ports.feeds.decode_table(&state.table) {
            Ok(spec) => {
                let raw = state.table;
                host.activate_table(PublishedTable { spec, raw }, "peer");
            }
            Err(error) => warn!(event = "peer_table_unreadable", peer = %peer, error = %error),
        }
    }
    let now = host.now();
    let mut decisions = host.lock_decisions();
    for departure in &state.departures {
        decisions.registry.apply_departure(now, departure);
    }
    let own_age = now.since(decisions.registry_updated_at);
    let peer_age = Duration::from_millis(state.update_age_ms);
    if peer_age < STALENESS_TIMEOUT && own_age >= STALENESS_TIMEOUT {
        let count = state.servers.len();
        for registration in state.servers {
            decisions.registry.merge_registration(now, registration);
        }
        decisions.registry_updated_at = now;
        drop(decisions);
        info!(event = "servers_from_peer", peer = %peer, count);
    }
}
