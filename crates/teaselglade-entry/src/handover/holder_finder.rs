//! Search for the entry host that holds a stream.

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

/// Identifies the peer that holds a stream, and its copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct StreamHolder {
    /// Address of the peer.
    pub(crate) address: SocketAddr,
    /// Id of its copy of the stream.
    pub(crate) copy_id: u16,
}

/// Queries peers for the holder of a stream.
///
/// `copy_id` is the copy that sent the caller's last token, if the caller names it.
///
/// # Errors
///
/// Returns the refusal for the caller if no peer is found to hold the stream.
pub(crate) async fn find_holder(
    host: &Arc<EntryHost>,
    request: RequestId,
    copy_id: Option<u16>,
) -> Result<StreamHolder, RequestRefusal> {
    let addresses = host.all_peers().into_iter().collect::<HashMap<_, _>>();
    let peers = addresses.keys().cloned().collect::<Vec<_>>();
    let (mut search, mut actions) =
        HolderSearch::start(request, copy_id.unwrap_or_default(), &peers);
    let mut queries = FuturesUnordered::new();
    let mut copy_ids = HashMap::new();
    loop {
        for action in std::mem::take(&mut actions) {
            match action {
                SearchAction::Query { peer } => {
                    let address = addresses[&peer];
                    queries.push(query_peer(host, address, peer, request));
                }
                SearchAction::Found { peer } => {
                    let copy_id = copy_ids.get(&peer).copied().unwrap_or_default();
                    let address = addresses[&peer];
                    return Ok(StreamHolder { address, copy_id });
                }
                SearchAction::NotFound { refusal } => return Err(refusal),
            }
        }
        let Some((peer, answer)) = queries.next().await else {
            unreachable!("a search has pending queries until it ends");
        };
        if let HolderAnswer::Holds { copy_id, .. } = answer {
            copy_ids.insert(peer.clone(), copy_id);
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
    let query = PeerStreamAsk {
        request: request.to_string(),
    };
    let Ok(body) = to_msgpack(&query) else {
        return (peer, HolderAnswer::Unknown);
    };
    let response = host.ports.peer.send(address, QUERY_PATH, body).await;
    let holder = response
        .ok()
        .and_then(|response| from_msgpack::<PeerStreamHolder>(&response).ok());
    let answer = match holder {
        Some(PeerStreamHolder {
            held: true,
            generation,
            line: copy_id,
        }) => HolderAnswer::Holds {
            generation,
            copy_id,
        },
        Some(_elsewhere) => HolderAnswer::NotHeld,
        None => HolderAnswer::Unknown,
    };
    (peer, answer)
}
