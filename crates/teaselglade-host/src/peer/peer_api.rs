//! Answers calls of peers.

use std::io;
use std::sync::Arc;

use bytes::Bytes;
use teaselglade_net::server::{HttpServer, ServerHandle};
use teaselglade_routing::registry::UpdateScope;
use viz::{IntoResponse, Request, RequestExt, Response, Router};

use super::PeerState;
use crate::state::HostState;

/// Path of what a host knows; the version that the peer has follows.
pub(super) const STATE_PATH: &str = "/state/";

/// Serves calls of peers.
///
/// # Errors
///
/// Fails where the address for peers cannot be bound.
pub async fn start_peer_api(host: &Arc<HostState>) -> io::Result<ServerHandle> {
    let server = HttpServer::bind(host.settings.listen.peers).await?;
    let host = Arc::clone(host);
    let path = format!("{STATE_PATH}:version");
    let router = Router::new().get(&path, move |request: Request| {
        let host = Arc::clone(&host);
        async move {
            let known: u64 = request.param("version")?;
            Ok::<Response, viz::Error>(state_answer(&host, known))
        }
    });
    Ok(server.start(router))
}

fn state_answer(host: &HostState, known: u64) -> Response {
    let state = state_for(host, known);
    // The types have only fields that the codec writes.
    let body = rmp_serde::to_vec_named(&state).unwrap_or_default();
    Bytes::from(body).into_response()
}

/// Returns what this host knows, for a peer that has version `known` of the table.
fn state_for(host: &HostState, known: u64) -> PeerState {
    let held = host.table();
    let version = held.as_ref().map_or(0, |held| held.table.version());
    let newer = held.filter(|held| held.table.version() > known);
    let now = host.now();
    let decisions = host.lock_decisions();
    PeerState {
        version,
        table: newer.map(|held| held.raw.clone()).unwrap_or_default(),
        servers: decisions.registry.registrations(),
        departures: decisions.registry.departures(now, UpdateScope::All, None),
        update_age_ms: now.since(decisions.registry_updated_at).as_millis() as u64,
    }
}
