//! Listeners for readiness probes and metrics.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use teaselglade_net::server::{HttpServer, ServerHandle};
use viz::{IntoResponse, Request, Response, Router, StatusCode};

use super::placement_endpoint::add_placement_endpoint;
use super::rollout_endpoint::add_rollout_endpoint;
use crate::state::HostState;

/// Listeners for readiness probes and, if configured, for metrics.
#[derive(Debug)]
pub struct AdminListeners {
    readiness: ServerHandle,
    metrics: Option<ServerHandle>,
}

impl AdminListeners {
    /// Binds and serves the readiness address, and the metrics address if one is given.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound.
    pub async fn start(host: &Arc<HostState>, metrics: Option<SocketAddr>) -> io::Result<Self> {
        let path = host.ports.messages.readiness_path();
        let state = Arc::clone(host);
        let router = Router::new().get(path, move |_request: Request| {
            let state = Arc::clone(&state);
            async move { Ok::<Response, viz::Error>(readiness(&state)) }
        });
        let readiness = HttpServer::bind(host.settings.listen.readiness).await?;
        let metrics = match metrics {
            Some(address) => Some(HttpServer::bind(address).await?.start(admin_router(host))),
            None => None,
        };
        Ok(Self {
            readiness: readiness.start(router),
            metrics,
        })
    }

    /// Stops both listeners immediately.
    pub fn abort(self) {
        self.readiness.abort();
        if let Some(metrics) = self.metrics {
            metrics.abort();
        }
    }
}

/// Returns 200 if the host can serve requests, otherwise 503.
fn readiness(host: &HostState) -> Response {
    if host.is_ready() {
        StatusCode::OK.into_response()
    } else {
        StatusCode::SERVICE_UNAVAILABLE.into_response()
    }
}

/// Returns a router that serves the metrics at `/metrics`, and explains placements and roll-outs.
fn admin_router(host: &Arc<HostState>) -> Router {
    let state = Arc::clone(host);
    let router = Router::new().get("/metrics", move |_request: Request| {
        let host = Arc::clone(&state);
        async move { Ok::<Response, viz::Error>(host.metrics.render().into_response()) }
    });
    add_rollout_endpoint(add_placement_endpoint(router, host), host)
}
