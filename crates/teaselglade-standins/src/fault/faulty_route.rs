//! Routes that inject faults and the routes that set them.

use std::future::pending;
use std::io;
use std::sync::Arc;

use futures::FutureExt;
use futures::future::BoxFuture;
use futures::stream;
use teaselglade_net::server::{
    caller_address, empty_response, json_response, read_body, stream_response, text_response,
    with_state,
};
use teaselglade_wire::codec::from_json;
use tokio::time::sleep;
use viz::header::HeaderValue;
use viz::{Request, Response, Router};

use super::{CallFaults, FaultInjector, FaultSettings};

const MAX_BODY_BYTES: usize = 4_096;

/// Wraps a handler on shared state so that the faults of `injector` apply to it.
pub fn with_faults<S, F, Fut>(
    injector: &Arc<FaultInjector>,
    state: &Arc<S>,
    handler: F,
) -> impl Fn(Request) -> BoxFuture<'static, viz::Result<Response>> + Clone + Send + Sync + 'static
where
    S: Send + Sync + 'static,
    F: Fn(Arc<S>, Request, CallFaults) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Response> + Send + 'static,
{
    let injector = Arc::clone(injector);
    let state = Arc::clone(state);
    move |request| {
        let faults = injector.faults_for(caller_address(&request));
        let effect = handler.clone();
        let state = Arc::clone(&state);
        apply_faults(faults, move || effect(state, request, faults))
            .map(Ok)
            .boxed()
    }
}

/// Adds `GET /faults` and `POST /faults`, which read and set the active faults.
pub fn add_fault_routes(router: Router, injector: &Arc<FaultInjector>) -> Router {
    router
        .get(
            "/faults",
            with_state(injector, |injector, _request| read_faults(injector)),
        )
        .post("/faults", with_state(injector, set_faults))
}

async fn apply_faults<F, Fut>(faults: CallFaults, effect: F) -> Response
where
    F: FnOnce() -> Fut + Send,
    Fut: Future<Output = Response> + Send + 'static,
{
    if faults.is_silent {
        return pending().await;
    }
    sleep(faults.delay).await;
    if faults.is_refused {
        return refused_response();
    }
    if !faults.is_response_lost {
        return effect().await;
    }
    let delayed_effect = effect();
    if faults.effect_delay.is_zero() {
        let _unsent = delayed_effect.await;
    } else {
        tokio::spawn(async move {
            sleep(faults.effect_delay).await;
            delayed_effect.await
        });
    }
    aborted_response()
}

fn refused_response() -> Response {
    let mut response = text_response(503, "the stand-in is down");
    response
        .headers_mut()
        .insert("x-not-run", HeaderValue::from_static("down"));
    response
}

fn aborted_response() -> Response {
    let body =
        stream::once(async { Err(io::Error::other("response dropped by an injected fault")) });
    stream_response(200, "application/json", body)
}

async fn read_faults(injector: Arc<FaultInjector>) -> Response {
    json_response(200, &injector.settings())
}

async fn set_faults(injector: Arc<FaultInjector>, request: Request) -> Response {
    let body = match read_body(request, MAX_BODY_BYTES).await {
        Ok(body) => body,
        Err(error) => return text_response(400, error.to_string()),
    };
    match from_json::<FaultSettings>(&body) {
        Ok(settings) => {
            injector.set(settings);
            empty_response(204)
        }
        Err(error) => text_response(400, error.to_string()),
    }
}
