//! Reads load reports and cache events of this host's servers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream;
use teaselglade_core::id::ServerKey;
use tokio::time::{MissedTickBehavior, interval};

use crate::host::EntryHost;

const POLL_INTERVAL: Duration = Duration::from_secs(1);
const MOST_AT_ONCE: usize = 16;

/// Reads load reports and cache events again and again.
pub(crate) async fn poll_servers(host: Arc<EntryHost>) {
    let mut ticks = interval(POLL_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut places = HashMap::<ServerKey, u64>::new();
    loop {
        ticks.tick().await;
        let servers = host.polled_servers();
        places.retain(|server, _| servers.iter().any(|(polled, _)| polled == server));
        let polls = servers.into_iter().map(|(server, address)| {
            let from = places.get(&server).copied().unwrap_or_default();
            poll_server(Arc::clone(&host), server, address, from)
        });
        let polls = stream::iter(polls.collect::<Vec<_>>());
        let next = polls.buffer_unordered(MOST_AT_ONCE).collect::<Vec<_>>();
        places.extend(next.await.into_iter().flatten());
    }
}

async fn poll_server(
    host: Arc<EntryHost>,
    server: ServerKey,
    address: SocketAddr,
    from: u64,
) -> Option<(ServerKey, u64)> {
    let backend = &host.ports.backend;
    if let Ok(report) = backend.report(address).await {
        host.placement().report(host.now(), server, report);
    }
    let changes = backend.cache_changes(address, from).await.ok()?;
    host.placement().cache_changes(host.now(), server, &changes);
    Some((server, changes.next))
}
