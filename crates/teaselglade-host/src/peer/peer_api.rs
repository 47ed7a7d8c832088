//! HTTP API for peers.

use std::io;
use std::sync::Arc;

use bytes::Bytes;
use teaselglade_net::server::{HttpServer, ServerHandle};
use teaselglade_routing::registry::UpdateScope;
use viz::{IntoResponse, Request, RequestExt, Response, Router};

use super::PeerState;
use crate::state::HostState;

/// Path prefix of the state endpoint; the table version that the peer has follows.
pub(super) const STATE_PATH: &str = "/state/";

/// Starts the HTTP API for peers.
///
/// # Errors
///
/// Returns the error of binding the peer address.
pub async fn start_peer_api(host: &Arc<HostState>) -> io::Result<ServerHandle> {
    let server = HttpServer::bind(host.settings.listen.peers).await?;
    let host = Arc::clone(host);
    let path = format!("{STATE_PATH}:version");
    let router = Router::new().get(&path, move |request: Request| {
        let host = Arc::clone(&host);
        async move {
            let peer_version: u64 = request.param("version")?;
            Ok::<Response, viz::Error>(state_response(&host, peer_version))
        }
    });
    Ok(server.start(router))
}

fn state_response(host: &HostState, peer_version: u64) -> Response {
    let state = build_state(host, peer_version);
    // The codec supports all field types, so no error is expected.
    let body = rmp_serde::to_vec_named(&state).unwrap_or_default();
    Bytes::from(body).into_response()
}

/// Returns the state of this host for a peer that has version `peer_version` of the table.
fn build_state(host: &HostState, peer_version: u64) -> PeerState {
    let active = host.table();
    let version = active.as_ref().map_or(0, |active| active.table.version());
    let newer = active.filter(|active| active.table.version() > peer_version);
    let now = host.now();
    let decisions = host.lock_decisions();
    PeerState {
        version,
        table: newer.map(|active| active.raw.clone()).unwrap_or_default(),
        servers: decisions.registry.registrations(),
        departures: decisions.registry.departures(now, UpdateScope::All, None),
        update_age_ms: now.since(decisions.registry_updated_at).as_millis() as u64,
    }
}
