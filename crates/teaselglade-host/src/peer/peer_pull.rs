//! Fetches newer tables and missing server updates from peers.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use teaselglade_routing::gossip::FetchPlanner;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::{MissedTickBehavior, interval, sleep};
use tracing::info;

use super::peer_client::{FetchOutcome, PeerClient};
use super::{PeerState, TableAnnouncement};
use crate::state::HostState;

/// Interval between checks for stale registration data.
const CHECK_INTERVAL: Duration = Duration::from_millis(400);
/// Interval between checks whether a busy peer can serve a table.
const SOURCE_POLL: Duration = Duration::from_millis(20);
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
    mut announcements: UnboundedReceiver<TableAnnouncement>,
) {
    let client = PeerClient::new(Arc::clone(&host));
    let mut planner = FetchPlanner::new(host.started_at_us);
    let mut checks = interval(CHECK_INTERVAL);
    checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let is_waiting = planner.is_waiting(host.now(), host.table_version());
        tokio::select! {
            announced = announcements.recv() => match announced {
                Some(announced) => record_announcement(&host, &mut planner, announced),
                None => return,
            },
            _tick = checks.tick() => query_if_stale(&host, &client, &mut planner).await,
            () = sleep(SOURCE_POLL), if is_waiting => {}
        }
        while let Ok(announced) = announcements.try_recv() {
            record_announcement(&host, &mut planner, announced);
        }
        fetch_newer_table(&host, &client, &mut planner).await;
    }
}

/// Queries peers once, before this host trusts what it reads from the store.
///
/// Returns when they responded or the time for a response has passed. A host that starts knows only
/// seeds at first, so this waits a moment for the list of hosts.
pub async fn pull_before_store(host: &Arc<HostState>) {
    let waiting_since = host.now();
    while host.lock_decisions().membership.peer_count() == 0
        && host.now().since(waiting_since) < DISCOVERY_WAIT
    {
        sleep(DISCOVERY_POLL).await;
    }
    let client = PeerClient::new(Arc::clone(host));
    let mut planner = FetchPlanner::new(host.started_at_us);
    let peers = host
        .lock_decisions()
        .membership
        .first_contacts(MAX_FIRST_CONTACTS);
    let queries = peers.into_iter().map(async |peer| {
        let state = client.fetch_state(peer).await?;
        let version = state.version;
        apply_state(host, state);
        Some(TableAnnouncement { peer, version })
    });
    for announced in join_all(queries).await.into_iter().flatten() {
        record_announcement(host, &mut planner, announced);
    }
    fetch_newer_table(host, &client, &mut planner).await;
}

fn record_announcement(host: &HostState, planner: &mut FetchPlanner, announced: TableAnnouncement) {
    planner.record_announcement(host.now(), announced.peer, announced.version);
}

/// Fetches tables from one peer after another until no available peer has a newer one.
async fn fetch_newer_table(host: &HostState, client: &PeerClient, planner: &mut FetchPlanner) {
    // The fetch of a host that starts and that of an announcement would share the link.
    let _single_fetch = host.table_fetch.lock().await;
    while let Some(peer) = planner.next_source(host.now(), host.table_version()) {
        match client.fetch_table(peer).await {
            FetchOutcome::Activated => {}
            FetchOutcome::Busy(delay) => planner.record_busy(host.now(), peer, delay),
            FetchOutcome::Failed => planner.record_failure(host.now(), peer),
        }
    }
}

async fn query_if_stale(host: &HostState, client: &PeerClient, planner: &mut FetchPlanner) {
    let peers = {
        let decisions = host.lock_decisions();
        if !decisions.lacks_news(host.now()) {
            return;
        }
        decisions.membership.peers_by_recency()
    };
    for peer in peers.into_iter().take(MAX_QUERIED_PEERS) {
        if let Some(state) = client.fetch_state(peer).await {
            let version = state.version;
            apply_state(host, state);
            record_announcement(host, planner, TableAnnouncement { peer, version });
        }
    }
}

/// Applies the departures that a peer knows, and its servers if they are fresher than this host's.
fn apply_state(host: &HostState, state: PeerState) {
    let now = host.now();
    let mut decisions = host.lock_decisions();
    for departure in &state.departures {
        decisions.registry.apply_departure(now, departure);
    }
    decisions.crash_ledger.merge(now, &state.crash_evidence);
    let peer_age = Duration::from_millis(state.update_age_ms);
    if decisions.lacks_news(now) && !decisions.membership.is_stale(peer_age) {
        let count = state.servers.len();
        decisions.registry.merge_listing(now, state.servers);
        decisions.record_peer_state(now, peer_age);
        drop(decisions);
        info!(event = "servers_from_peer", count);
    }
}
