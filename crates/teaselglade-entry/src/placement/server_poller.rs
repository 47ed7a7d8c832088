//! Polls load reports and cache events of this host's servers in batches.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use teaselglade_core::id::ServerKey;
use tokio::time::{MissedTickBehavior, interval};

use crate::host::EntryHost;

/// Time between two batches of polls.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Servers polled per batch, which bounds the traffic.
const POLL_BATCH_SIZE: usize = 8;

/// Polls of a server per read of its cache events.
const ROUNDS_PER_CACHE_READ: u32 = 4;

/// Holds the poll state of one server.
#[derive(Debug, Clone, Copy, Default)]
struct PollState {
    rounds: u32,
    next_sequence: u64,
}

/// Polls the servers of this host in round-robin order.
pub(crate) async fn poll_servers(host: Arc<EntryHost>) {
    let mut timer = interval(POLL_INTERVAL);
    timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut states = HashMap::<ServerKey, PollState>::new();
    let mut next_index = 0;
    loop {
        timer.tick().await;
        let servers = host.polled_servers();
        states.retain(|server, _| servers.iter().any(|(polled, _)| polled == server));
        let batch_size = servers.len().min(POLL_BATCH_SIZE);
        let batch = (0..batch_size).map(|offset| servers[(next_index + offset) % servers.len()]);
        let polls = batch.map(|(server, address)| {
            let state = states.get(&server).copied().unwrap_or_default();
            poll_server(Arc::clone(&host), server, address, state)
        });
        states.extend(join_all(polls.collect::<Vec<_>>()).await);
        next_index = next_index.wrapping_add(batch_size);
    }
}

async fn poll_server(
    host: Arc<EntryHost>,
    server: ServerKey,
    address: SocketAddr,
    state: PollState,
) -> (ServerKey, PollState) {
    let backend = &host.ports.backend;
    if let Ok(report) = backend.report(address).await {
        host.placement().record_report(host.now(), server, report);
    }
    let mut state = PollState {
        rounds: state.rounds + 1,
        ..state
    };
    if state.rounds.is_multiple_of(ROUNDS_PER_CACHE_READ)
        && let Ok(changes) = backend.cache_changes(address, state.next_sequence).await
    {
        host.placement()
            .record_cache_changes(host.now(), server, &changes);
        state.next_sequence = changes.next;
    }
    (server, state)
}
