//! Routes for peers and operators.

use std::sync::Arc;

use teaselglade_net::server::{json_response, text_response, with_state};
use viz::{Response, Router};

use crate::handover::{
    ACCEPT_PATH, QUERY_PATH, READ_PATH, accept_stream, query_stream, read_stream,
};
use crate::host::EntryHost;
use crate::shared::{
    GOSSIP_PATH, HEAD_PATH, TABLE_PATH, handle_gossip, handle_head_request, handle_table_request,
};

/// Returns the router for peers and operators.
pub(crate) fn peer_router(host: &Arc<EntryHost>) -> Router {
    Router::new()
        .post(GOSSIP_PATH, with_state(host, handle_gossip))
        .post(HEAD_PATH, with_state(host, handle_head_request))
        .post(TABLE_PATH, with_state(host, handle_table_request))
        .post(ACCEPT_PATH, with_state(host, accept_stream))
        .post(QUERY_PATH, with_state(host, query_stream))
        .post(READ_PATH, with_state(host, read_stream))
        .get("/status", with_state(host, |host, _request| status(host)))
        .get("/metrics", with_state(host, |host, _request| metrics(host)))
        .get("/healthz", with_state(host, |_host, _request| health()))
        .get(
            "/readyz",
            with_state(host, |host, _request| readiness(host)),
        )
}

pub(crate) async fn health() -> Response {
    text_response(200, "ok\n")
}

pub(crate) async fn readiness(host: Arc<EntryHost>) -> Response {
    if host.is_ready() {
        return text_response(200, "ready\n");
    }
    let reason = if host.is_draining() {
        "draining\n"
    } else {
        "the table in force is not known yet\n"
    };
    text_response(503, reason)
}

async fn status(host: Arc<EntryHost>) -> Response {
    json_response(200, &host.status())
}

async fn metrics(host: Arc<EntryHost>) -> Response {
    text_response(200, host.metrics.render())
}
