//! HTTP API for peers.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde::Serialize;
use teaselglade_net::server::{HttpServer, ServerHandle};
use teaselglade_routing::crash::CrashSubject;
use teaselglade_routing::registry::UpdateScope;
use tracing::info;
use viz::header::{HeaderValue, RETRY_AFTER};
use viz::{IntoResponse, Request, RequestExt, Response, Router, StatusCode};

use super::{PeerState, TableState};
use crate::state::HostState;

/// Path prefix of the state endpoint; the table version that the peer has follows.
pub(super) const STATE_PATH: &str = "/state/";

/// Path prefix of the table endpoint; the table version that the peer has follows.
pub(super) const TABLE_PATH: &str = "/tables/";

/// Path at which operators list quarantined requests and parts; with a name, of the one to lift.
pub const QUARANTINE_PATH: &str = "/quarantine";

/// Starts the HTTP API for peers.
///
/// # Errors
///
/// Returns the error of binding the peer address.
pub async fn start_peer_api(host: &Arc<HostState>) -> io::Result<ServerHandle> {
    let server = HttpServer::bind(host.settings.listen.peers).await?;
    let router = Router::new();
    let router = add_endpoint(router, STATE_PATH, host, state_response);
    let router = add_endpoint(router, TABLE_PATH, host, table_response);
    let router = add_quarantine_endpoints(router, host);
    Ok(server.start(router))
}

/// Adds an endpoint whose path ends with the table version that the peer has.
fn add_endpoint(
    router: Router,
    path: &str,
    host: &Arc<HostState>,
    respond: fn(&HostState, u64) -> Response,
) -> Router {
    let host = Arc::clone(host);
    router.get(format!("{path}:version"), move |request: Request| {
        let host = Arc::clone(&host);
        async move {
            let peer_version: u64 = request.param("version")?;
            Ok::<Response, viz::Error>(respond(&host, peer_version))
        }
    })
}

/// Adds the endpoints by which operators list and lift quarantines.
fn add_quarantine_endpoints(router: Router, host: &Arc<HostState>) -> Router {
    let (listed_host, lifting_host) = (Arc::clone(host), Arc::clone(host));
    router
        .get(QUARANTINE_PATH, move |_request: Request| {
            let response = list_quarantine(&listed_host);
            async move { Ok::<Response, viz::Error>(response) }
        })
        .delete(
            format!("{QUARANTINE_PATH}/:subject"),
            move |request: Request| {
                let host = Arc::clone(&lifting_host);
                async move {
                    let subject: String = request.param("subject")?;
                    Ok::<Response, viz::Error>(lift_quarantine(&host, &subject).into_response())
                }
            },
        )
}

fn list_quarantine(host: &HostState) -> Response {
    let now = host.now();
    let reports = host.lock_decisions().crash_ledger.reports(now);
    // The reports hold only numbers and names, so no error is expected.
    let body = serde_json::to_vec(&reports).unwrap_or_default();
    Bytes::from(body).into_response()
}

fn lift_quarantine(host: &HostState, text: &str) -> StatusCode {
    let Ok(subject) = text.parse::<CrashSubject>() else {
        return StatusCode::BAD_REQUEST;
    };
    let now = host.now();
    let is_lifted = host.lock_decisions().crash_ledger.lift(now, subject);
    info!(event = "part_lifted", part = text, is_lifted);
    if is_lifted {
        StatusCode::NO_CONTENT
    } else {
        StatusCode::NOT_FOUND
    }
}

fn state_response(host: &HostState, peer_version: u64) -> Response {
    encode(&build_state(host, peer_version))
}

/// Returns the active table if it is newer than the peer's and the link has room for it.
fn table_response(host: &HostState, peer_version: u64) -> Response {
    // The position is read first, so that the table is not older than it says.
    let position = host.table_position();
    let active = host.table();
    let newer = active.filter(|active| active.table.version() > peer_version);
    let Some(active) = newer else {
        return encode(&TableState {
            version: host.table_version(),
            table: None,
            position,
        });
    };
    let packed = active.packed();
    let now = host.now();
    let started = host
        .lock_decisions()
        .transfers
        .try_start(now, packed.size());
    match started {
        Ok(()) => encode(&TableState {
            version: active.table.version(),
            table: Some(packed.clone()),
            position,
        }),
        Err(delay) => busy_response(delay),
    }
}

fn busy_response(delay: Duration) -> Response {
    let mut response = StatusCode::SERVICE_UNAVAILABLE.into_response();
    // Digits and a point are a valid header value.
    if let Ok(seconds) = HeaderValue::from_str(&format!("{:.3}", delay.as_secs_f64())) {
        response.headers_mut().insert(RETRY_AFTER, seconds);
    }
    response
}

fn encode(state: &impl Serialize) -> Response {
    // The codec supports all field types, so no error is expected.
    let body = rmp_serde::to_vec_named(state).unwrap_or_default();
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
        crash_evidence: decisions.crash_ledger.evidence(now, UpdateScope::All),
    }
}
