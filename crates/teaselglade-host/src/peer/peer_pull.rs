//! Asks peers for what this host lacks.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use teaselglade_net::client::{HttpClient, HttpRequest};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::timeout;
use tracing::{debug, info, warn};

use super::PeerState;
use super::peer_api::STATE_PATH;
use crate::port::PublishedTable;
use crate::state::HostState;

/// Longest time for a peer's answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// Time between two looks whether news are missing.
const CHECK_INTERVAL: Duration = Duration::from_millis(400);
/// Age of the news of servers from which peers are asked.
const OLD_NEWS: Duration = Duration::from_millis(1_200);
/// Most peers that are asked in one round.
const ASKED_PEERS: usize = 2;

/// Asks peers for newer tables that digests tell of, and for servers while the store is silent.
pub async fn pull_from_peers(host: Arc<HostState>, mut newer: UnboundedReceiver<SocketAddr>) {
    let caller = HttpClient::default();
    loop {
        match timeout(CHECK_INTERVAL, newer.recv()).await {
            Ok(Some(peer)) => {
                while newer.try_recv().is_ok() {}
                pull(&host, &caller, peer).await;
            }
            Ok(None) => return,
            Err(_elapsed) => pull_where_old(&host, &caller).await,
        }
    }
}

async fn pull_where_old(host: &HostState, caller: &HttpClient) {
    let peers = {
        let decisions = host.decide();
        if host.now().since(decisions.news_at) < OLD_NEWS {
            return;
        }
        decisions.roster.peers_by_recency()
    };
    for peer in peers.into_iter().take(ASKED_PEERS) {
        pull(host, caller, peer).await;
    }
}

async fn pull(host: &HostState, caller: &HttpClient, peer: SocketAddr) {
    let path = format!("{STATE_PATH}{}", host.table_version());
    let call = HttpRequest::get(peer, path).head_timeout(ANSWER_TIMEOUT);
    let answer = match caller.call(call).await {
        Ok(answer) if answer.is_success() => answer,
        Ok(answer) => {
            warn!(event = "peer_refused", peer = %peer, status = answer.status);
            return;
        }
        Err(error) => {
            debug!(event = "peer_silent", peer = %peer, error = %error);
            return;
        }
    };
    match rmp_serde::from_slice(&answer.body) {
        Ok(state) => take_state(host, peer, state),
        Err(error) => warn!(event = "peer_unreadable", peer = %peer, error = %error),
    }
}

fn take_state(host: &HostState, peer: SocketAddr, state: PeerState) {
    if !state.table.is_empty() {
        match host.ports.feeds.decode_table(&state.table) {
            Ok(spec) => {
                let raw = state.table;
                host.put_in_force(PublishedTable { spec, raw }, "peer");
            }
            Err(error) => warn!(event = "peer_table_unreadable", peer = %peer, error = %error),
        }
    }
    let now = host.now();
    let mut decisions = host.decide();
    for departure in &state.departures {
        decisions.fleet.apply_departure(now, departure);
    }
    let own_age = now.since(decisions.news_at);
    let news_age = Duration::from_millis(state.news_age_ms);
    if news_age < OLD_NEWS && own_age >= OLD_NEWS {
        let count = state.servers.len();
        for sheet in state.servers {
            decisions.fleet.merge_registration(now, sheet);
        }
        decisions.news_at = now;
        drop(decisions);
        info!(event = "servers_from_peer", peer = %peer, count);
    }
}
