//! Polls peers for the head of the table after the start, since the log may be unavailable.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use teaselglade_core::id::HostName;
use teaselglade_core::port::PeerError;
use teaselglade_state::table::{HeadPoll, PollVerdict};
use teaselglade_wire::TableHead;
use teaselglade_wire::codec::from_msgpack;
use tokio::time::sleep;

use super::exchange_driver::fetch_table;
use super::peer_handlers::HEAD_PATH;
use super::table_follower::activate_table;
use crate::host::EntryHost;

const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Polls the listed entry hosts until the head of the table is known.
///
/// The log may provide the head first.
pub(crate) async fn poll_head(host: Arc<EntryHost>) {
    loop {
        sleep(POLL_INTERVAL).await;
        if host.shared.is_head_known() {
            return;
        }
        poll_peers(&host).await;
    }
}

async fn poll_peers(host: &Arc<EntryHost>) {
    let peers = listed_peers(host);
    let mut poll = HeadPoll::new(host.settings.cluster.as_str(), peers.keys().cloned());
    let calls = peers.iter().map(|(name, address)| async move {
        let response = host.ports.peer.send(*address, HEAD_PATH, Bytes::new());
        (name, response.await)
    });
    let mut calls = calls.collect::<FuturesUnordered<_>>();
    while let Some((name, response)) = calls.next().await {
        match read_head(response) {
            Some(head) => poll.on_answer(name, &head),
            None => poll.on_failure(name),
        }
    }
    let PollVerdict::Quorum {
        host: peer,
        version,
    } = poll.verdict()
    else {
        return;
    };
    let Some(address) = peers.get(&peer) else {
        return;
    };
    if fetch_table(host, *address).await.is_err() {
        host.metrics.peer_failures.inc();
        return;
    }
    let is_applied = host.shared.replica().head().version >= version;
    if is_applied {
        log::info!("table version {version} was received from peers");
        host.shared.set_head_known();
        activate_table(host);
    }
}

fn listed_peers(host: &EntryHost) -> HashMap<HostName, SocketAddr> {
    let directory = host.directory();
    let others = directory
        .entry_hosts()
        .iter()
        .filter(|peer| peer.name.as_str() != host.settings.host);
    others
        .map(|peer| (peer.name.clone(), peer.address))
        .collect()
}

fn read_head(response: Result<Bytes, PeerError>) -> Option<TableHead> {
    from_msgpack(&response.ok()?).ok()
}
