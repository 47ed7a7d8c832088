//! Finds the entry host that holds a stream.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use teaselglade_core::id::{HostName, RequestId};
use teaselglade_core::verdict::RequestRefusal;
use teaselglade_request::handover::{HolderAnswer, HolderSearch, SearchAction};
use teaselglade_wire::codec::{from_msgpack, to_msgpack};
use teaselglade_wire::{PeerStreamAsk, PeerStreamHolder};

use super::QUERY_PATH;
use crate::host::EntryHost;

/// Peer that holds a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct StreamHolder {
    /// Address of the peer.
    pub(crate) address: SocketAddr,
    /// Line of its copy.
    pub(crate) line: u16,
}

/// Asks peers for the holder of a stream.
///
/// # Errors
///
/// Returns the caller's answer where no peer holds the stream.
pub(crate) async fn find_holder(
    host: &Arc<EntryHost>,
    request: RequestId,
    line: Option<u16>,
) -> Result<StreamHolder, RequestRefusal> {
    let addresses = host.all_peers().into_iter().collect::<HashMap<_, _>>();
    let peers = addresses.keys().cloned().collect::<Vec<_>>();
    let (mut search, mut actions) = HolderSearch::start(request, line.unwrap_or_default(), &peers);
    let mut questions = FuturesUnordered::new();
    let mut lines = HashMap::new();
    loop {
        for action in std::mem::take(&mut actions) {
            match action {
                SearchAction::Query { peer } => {
                    let address = addresses[&peer];
                    questions.push(query_peer(host, address, peer, request));
                }
                SearchAction::Found { peer } => {
                    let line = lines.get(&peer).copied().unwrap_or_default();
                    let address = addresses[&peer];
                    return Ok(StreamHolder { address, line });
                }
                SearchAction::NotFound { refusal } => return Err(refusal),
            }
        }
        let Some((peer, answer)) = questions.next().await else {
            unreachable!("a search asks until it ends");
        };
        if let HolderAnswer::Holds { copy_id: line, .. } = answer {
            lines.insert(peer.clone(), line);
        }
        actions = search.on_answer(&peer, answer);
    }
}

async fn query_peer(
    host: &EntryHost,
    address: SocketAddr,
    peer: HostName,
    request: RequestId,
) -> (HostName, HolderAnswer) {
    let ask = PeerStreamAsk {
        request: request.to_string(),
    };
    let Ok(body) = to_msgpack(&ask) else {
        return (peer, HolderAnswer::Unknown);
    };
    let answer = host.ports.peer.send(address, QUERY_PATH, body).await;
    let holder = answer
        .ok()
        .and_then(|answer| from_msgpack::<PeerStreamHolder>(&answer).ok());
    let answer = match holder {
        Some(PeerStreamHolder {
            held: true,
            generation,
            line,
        }) => HolderAnswer::Holds {
            generation,
            copy_id: line,
        },
        Some(_elsewhere) => HolderAnswer::NotHeld,
        None => HolderAnswer::Unknown,
    };
    (peer, answer)
}
