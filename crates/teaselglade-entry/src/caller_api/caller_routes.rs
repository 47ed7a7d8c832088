//! Routes of the API for callers.

use std::sync::Arc;

use teaselglade_core::verdict::{RefusalReason, RequestRefusal};
use teaselglade_net::server::with_state;
use viz::{Response, Router};

use super::generate_route::generate;
use super::plain_route::call_plain;
use super::refusal_response::refusal_response;
use super::resume_route::resume;
use crate::host::EntryHost;
use crate::peer_api::{health, readiness};

/// Returns the router for callers.
pub(crate) fn caller_router(host: &Arc<EntryHost>) -> Router {
    Router::new()
        .post("/v1/services/:service/generate", with_state(host, generate))
        .any(
            "/v1/services/:service/call/:path*",
            with_state(host, call_plain),
        )
        .get("/v1/requests/:request", with_state(host, resume))
        .get("/healthz", with_state(host, |_host, _request| health()))
        .get(
            "/readyz",
            with_state(host, |host, _request| readiness(host)),
        )
        .any("/*", with_state(host, |_host, _request| not_found()))
}

async fn not_found() -> Response {
    let refusal = RequestRefusal::not_run(RefusalReason::UnknownService, "no such path");
    refusal_response(&refusal, None)
}
