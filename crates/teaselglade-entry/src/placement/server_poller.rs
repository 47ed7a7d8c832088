//! Reads load reports and cache events of this host's servers, a few at a time.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use teaselglade_core::id::ServerKey;
use tokio::time::{MissedTickBehavior, interval};

use crate::host::EntryHost;

/// Time between two groups of polls.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Servers polled at a time, which bounds the traffic.
const POLL_BATCH_SIZE: usize = 8;

/// Rounds over all servers, in one of which their cache events are read.
const ROUNDS_PER_CACHE_READ: u32 = 4;

/// Place of one server in the rounds.
#[derive(Debug, Clone, Copy, Default)]
struct PollState {
    rounds: u32,
    next_change: u64,
}

/// Polls the servers of this host in turn.
pub(crate) async fn poll_servers(host: Arc<EntryHost>) {
    let mut ticks = interval(POLL_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut places = HashMap::<ServerKey, PollState>::new();
    let mut turn = 0;
    loop {
        ticks.tick().await;
        let servers = host.polled_servers();
        places.retain(|server, _| servers.iter().any(|(polled, _)| polled == server));
        let count = servers.len().min(POLL_BATCH_SIZE);
        let group = (0..count).map(|step| servers[(turn + step) % servers.len()]);
        let polls = group.map(|(server, address)| {
            let place = places.get(&server).copied().unwrap_or_default();
            poll_server(Arc::clone(&host), server, address, place)
        });
        places.extend(join_all(polls.collect::<Vec<_>>()).await);
        turn = turn.wrapping_add(count);
    }
}

async fn poll_server(
    host: Arc<EntryHost>,
    server: ServerKey,
    address: SocketAddr,
    place: PollState,
) -> (ServerKey, PollState) {
    let backend = &host.ports.backend;
    if let Ok(report) = backend.report(address).await {
        host.placement().report(host.now(), server, report);
    }
    let mut place = PollState {
        rounds: place.rounds + 1,
        ..place
    };
    if place.rounds.is_multiple_of(ROUNDS_PER_CACHE_READ)
        && let Ok(changes) = backend.cache_changes(address, place.next_change).await
    {
        host.placement().cache_changes(host.now(), server, &changes);
        place.next_change = changes.next;
    }
    (server, place)
}
