//! HTTP routes of the cloud API.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use teaselglade_net::server::{
    empty_response, json_response, read_body, text_response, with_state,
};
use teaselglade_wire::codec::from_json;
use teaselglade_wire::{CloudEntries, CloudNotices, CloudOrder};
use viz::{Request, RequestExt, Response, Router};

use super::CloudRegistry;
use crate::fault::{FaultInjector, add_fault_routes, with_faults};

const MAX_BODY_BYTES: usize = 16 * 1024;

/// Body of `POST /reclaim`: a data centre, a host or both, and the notice before they stop.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ReclaimRequest {
    zone: Option<String>,
    host: Option<String>,
    notice_ms: u64,
}

/// Builds the routes of a cloud API.
#[must_use]
pub fn cloud_router(registry: &Arc<CloudRegistry>) -> Router {
    let injector = Arc::new(FaultInjector::default());
    let order_injector = Arc::clone(&injector);
    let order = with_faults(&injector, registry, move |registry, request, _faults| {
        order(registry, request, Arc::clone(&order_injector))
    });
    let router = Router::new()
        .post("/hosts", order)
        .get(
            "/hosts",
            with_faults(&injector, registry, |registry, _request, _faults| {
                hosts(registry)
            }),
        )
        .delete(
            "/hosts/:name",
            with_faults(&injector, registry, |registry, request, _faults| {
                release(registry, request)
            }),
        )
        .get(
            "/notices",
            with_faults(&injector, registry, |registry, request, _faults| {
                notices(registry, request)
            }),
        )
        .post("/reclaim", with_state(registry, reclaim));
    add_fault_routes(router, &injector)
}

async fn order(
    registry: Arc<CloudRegistry>,
    request: Request,
    injector: Arc<FaultInjector>,
) -> Response {
    let body = match read_body(request, MAX_BODY_BYTES).await {
        Ok(body) => body,
        Err(error) => return text_response(400, error.to_string()),
    };
    match from_json::<CloudOrder>(&body) {
        Ok(_) if injector.settings().refuse_starts => text_response(409, "no capacity"),
        Ok(order) => json_response(200, &registry.order_host(order)),
        Err(error) => text_response(400, error.to_string()),
    }
}

async fn hosts(registry: Arc<CloudRegistry>) -> Response {
    json_response(
        200,
        &CloudEntries {
            hosts: registry.hosts(),
        },
    )
}

async fn release(registry: Arc<CloudRegistry>, request: Request) -> Response {
    let Ok(name) = request.param::<String>("name") else {
        return text_response(400, "the name is malformed");
    };
    registry.release(&name);
    empty_response(204)
}

async fn notices(registry: Arc<CloudRegistry>, request: Request) -> Response {
    let query = request.query::<HashMap<String, u64>>().unwrap_or_default();
    let after = query.get("after").copied().unwrap_or(0);
    json_response(
        200,
        &CloudNotices {
            notices: registry.notices(after),
        },
    )
}

async fn reclaim(registry: Arc<CloudRegistry>, request: Request) -> Response {
    let body = match read_body(request, MAX_BODY_BYTES).await {
        Ok(body) => body,
        Err(error) => return text_response(400, error.to_string()),
    };
    let reclaim_request = match from_json::<ReclaimRequest>(&body) {
        Ok(reclaim_request) => reclaim_request,
        Err(error) => return text_response(400, error.to_string()),
    };
    let notice = Duration::from_millis(reclaim_request.notice_ms);
    let mut reclaimed_hosts = 0;
    if let Some(zone) = reclaim_request.zone {
        reclaimed_hosts += registry.reclaim_zone(&zone, notice);
    }
    if let Some(host) = reclaim_request.host {
        registry.reclaim(&host, notice);
        reclaimed_hosts += 1;
    }
    json_response(200, &reclaimed_hosts)
}
