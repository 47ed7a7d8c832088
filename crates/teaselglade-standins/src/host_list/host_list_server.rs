//! HTTP routes of the host list.

use std::sync::Arc;
use std::time::Duration;

use teaselglade_net::server::{
    empty_response, json_response, read_body, text_response, with_state,
};
use teaselglade_wire::codec::from_json;
use teaselglade_wire::{HostEntries, HostEntry};
use viz::{Request, RequestExt, Response, Router};

use super::HostRegistry;
use crate::fault::{FaultInjector, add_fault_routes, with_faults};

const MAX_BODY_BYTES: usize = 16 * 1024;

/// Builds the routes of a host list.
///
/// `PUT /hosts` adds or replaces a host, `DELETE /hosts/NAME` removes it and `PUT /lag/MILLIS`
/// sets the lag of later changes.
#[must_use]
pub fn host_list_router(registry: &Arc<HostRegistry>) -> Router {
    let injector = Arc::new(FaultInjector::default());
    let router = Router::new()
        .get(
            "/hosts",
            with_faults(&injector, registry, |registry, _request, _faults| {
                list(registry)
            }),
        )
        .put("/hosts", with_state(registry, put))
        .delete("/hosts/:name", with_state(registry, remove))
        .put("/lag/:millis", with_state(registry, set_lag));
    add_fault_routes(router, &injector)
}

async fn list(registry: Arc<HostRegistry>) -> Response {
    json_response(
        200,
        &HostEntries {
            hosts: registry.visible_hosts(),
        },
    )
}

async fn put(registry: Arc<HostRegistry>, request: Request) -> Response {
    let body = match read_body(request, MAX_BODY_BYTES).await {
        Ok(body) => body,
        Err(error) => return text_response(400, error.to_string()),
    };
    match from_json::<HostEntry>(&body) {
        Ok(host) => {
            registry.put(host);
            empty_response(204)
        }
        Err(error) => text_response(400, error.to_string()),
    }
}

async fn remove(registry: Arc<HostRegistry>, request: Request) -> Response {
    let Ok(name) = request.param::<String>("name") else {
        return text_response(400, "the name is malformed");
    };
    registry.remove(&name);
    empty_response(204)
}

async fn set_lag(registry: Arc<HostRegistry>, request: Request) -> Response {
    let Ok(millis) = request.param::<u64>("millis") else {
        return text_response(400, "the lag is no whole number of milliseconds");
    };
    registry.set_lag(Duration::from_millis(millis));
    empty_response(204)
}
