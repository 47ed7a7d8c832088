//! Routes that faults apply to.

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

use super::{FaultPass, FaultSettings, FaultSwitch};

const MAX_FAULT_BYTES: usize = 4_096;

/// Makes a handler on a shared state that the faults of `switch` apply to.
pub fn with_faults<S, F, Fut>(
    switch: &Arc<FaultSwitch>,
    state: &Arc<S>,
    handle: F,
) -> impl Fn(Request) -> BoxFuture<'static, viz::Result<Response>> + Clone + Send + Sync + 'static
where
    S: Send + Sync + 'static,
    F: Fn(Arc<S>, Request, FaultPass) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Response> + Send + 'static,
{
    let switch = Arc::clone(switch);
    let state = Arc::clone(state);
    move |request| {
        let pass = switch.pass(caller_address(&request));
        let effect = handle.clone();
        let state = Arc::clone(&state);
        faulty_call(pass, move || effect(state, request, pass))
            .map(Ok)
            .boxed()
    }
}

/// Adds the routes that read and set the faults of `switch`.
pub fn add_fault_routes(router: Router, switch: &Arc<FaultSwitch>) -> Router {
    router
        .get(
            "/faults",
            with_state(switch, |switch, _request| read_faults(switch)),
        )
        .post("/faults", with_state(switch, set_faults))
}

async fn faulty_call<F, Fut>(pass: FaultPass, effect: F) -> Response
where
    F: FnOnce() -> Fut + Send,
    Fut: Future<Output = Response> + Send + 'static,
{
    if pass.silent {
        return pending().await;
    }
    sleep(pass.delay).await;
    if pass.refused {
        return refused_answer();
    }
    if !pass.lost {
        return effect().await;
    }
    let late = effect();
    if pass.late_effect.is_zero() {
        let _unsent = late.await;
    } else {
        tokio::spawn(async move {
            sleep(pass.late_effect).await;
            late.await
        });
    }
    broken_answer()
}

fn refused_answer() -> Response {
    let mut answer = text_response(503, "the stand-in is down");
    answer
        .headers_mut()
        .insert("x-not-run", HeaderValue::from_static("down"));
    answer
}

fn broken_answer() -> Response {
    let cut = stream::once(async { Err(io::Error::other("the answer is lost")) });
    stream_response(200, "application/json", cut)
}

async fn read_faults(switch: Arc<FaultSwitch>) -> Response {
    json_response(200, &switch.settings())
}

async fn set_faults(switch: Arc<FaultSwitch>, request: Request) -> Response {
    let body = match read_body(request, MAX_FAULT_BYTES).await {
        Ok(body) => body,
        Err(error) => return text_response(400, error.to_string()),
    };
    match from_json::<FaultSettings>(&body) {
        Ok(settings) => {
            switch.set(settings);
            empty_response(204)
        }
        Err(error) => text_response(400, error.to_string()),
    }
}
