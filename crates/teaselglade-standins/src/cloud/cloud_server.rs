//! Serves the cloud API by HTTP.

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
use crate::fault::{FaultSwitch, add_fault_routes, with_faults};

const MAX_BODY_BYTES: usize = 16 * 1024;

/// Body of `POST /reclaim`: a zone or one host, and the time until it is gone.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ReclaimOrder {
    zone: Option<String>,
    host: Option<String>,
    notice_ms: u64,
}

/// Makes the routes of a cloud API.
#[must_use]
pub fn cloud_router(registry: &Arc<CloudRegistry>) -> Router {
    let switch = Arc::new(FaultSwitch::default());
    let faults = Arc::clone(&switch);
    let order = with_faults(&switch, registry, move |registry, request, _pass| {
        order(registry, request, Arc::clone(&faults))
    });
    let router = Router::new()
        .post("/hosts", order)
        .get(
            "/hosts",
            with_faults(&switch, registry, |registry, _request, _pass| {
                hosts(registry)
            }),
        )
        .delete(
            "/hosts/:name",
            with_faults(&switch, registry, |registry, request, _pass| {
                release(registry, request)
            }),
        )
        .get(
            "/notices",
            with_faults(&switch, registry, |registry, request, _pass| {
                notices(registry, request)
            }),
        )
        .post("/reclaim", with_state(registry, reclaim));
    add_fault_routes(router, &switch)
}

async fn order(
    registry: Arc<CloudRegistry>,
    request: Request,
    switch: Arc<FaultSwitch>,
) -> Response {
    let body = match read_body(request, MAX_BODY_BYTES).await {
        Ok(body) => body,
        Err(error) => return text_response(400, error.to_string()),
    };
    match from_json::<CloudOrder>(&body) {
        Ok(_) if switch.settings().refuse_starts => text_response(409, "no capacity"),
        Ok(order) => json_response(200, &registry.order(order)),
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
    let order = match from_json::<ReclaimOrder>(&body) {
        Ok(order) => order,
        Err(error) => return text_response(400, error.to_string()),
    };
    let notice = Duration::from_millis(order.notice_ms);
    let mut taken = 0;
    if let Some(zone) = order.zone {
        taken += registry.reclaim_zone(&zone, notice);
    }
    if let Some(host) = order.host {
        registry.reclaim(&host, notice);
        taken += 1;
    }
    json_response(200, &taken)
}
