//! Serves a model engine by HTTP.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde::de::DeserializeOwned;
use teaselglade_net::client::{HttpClient, HttpRequest};
use teaselglade_net::server::{
    empty_response, json_response, read_body, stream_response, text_response,
};
use teaselglade_wire::codec::{from_json, to_json};
use teaselglade_wire::{
    EngineCancel, EngineExport, EngineGenerate, EngineHandle, EngineImport, EngineLoad, EngineOrder,
};
use tokio::sync::{Notify, mpsc};
use tokio::time::{Instant, sleep};
use viz::header::HeaderValue;
use viz::{Request, RequestExt, Response, Router};

use super::EngineProfile;
use super::engine_answer::frame_lines;
use super::engine_batch::EngineBatch;
use super::engine_orders::EngineOrders;
use crate::fault::{FaultPass, FaultSwitch, add_fault_routes, with_faults};

const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// One model engine.
#[derive(Debug)]
pub struct EngineServer {
    profile: EngineProfile,
    batch: Mutex<EngineBatch>,
    orders: Mutex<EngineOrders>,
    report: Mutex<(Instant, EngineLoad)>,
    enqueued: Notify,
    caller: HttpClient,
    switch: Arc<FaultSwitch>,
}

impl EngineServer {
    /// Makes an engine; [`EngineServer::run`] drives it.
    #[must_use]
    pub fn new(profile: EngineProfile) -> Arc<Self> {
        let batch = EngineBatch::new(profile);
        let report = Mutex::new((Instant::now(), batch.load()));
        Arc::new(Self {
            profile,
            batch: Mutex::new(batch),
            orders: Mutex::new(EngineOrders::new(profile.fenced)),
            report,
            enqueued: Notify::new(),
            caller: HttpClient::default(),
            switch: Arc::default(),
        })
    }

    /// Runs the engine's steps for ever.
    pub async fn run(self: Arc<Self>) {
        loop {
            let enqueued = self.enqueued.notified();
            if self.batch().is_idle() {
                enqueued.await;
            }
            let span = self.batch().begin_step();
            sleep(span).await;
            self.batch().end_step();
        }
    }

    /// Returns how many prompt and delivered tokens the engine computed so far.
    #[must_use]
    pub fn computed_tokens(&self) -> u64 {
        self.batch().computed_tokens
    }

    fn batch(&self) -> MutexGuard<'_, EngineBatch> {
        self.batch.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn orders(&self) -> MutexGuard<'_, EngineOrders> {
        self.orders.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Makes the routes of an engine.
pub fn engine_router(server: &Arc<EngineServer>) -> Router {
    let switch = &server.switch;
    let router = Router::new()
        .post("/generate", with_faults(switch, server, generate))
        .post(
            "/cancel",
            with_faults(switch, server, |s, request, _pass| cancel(s, request)),
        )
        .post(
            "/kv/export",
            with_faults(switch, server, |s, request, _pass| export(s, request)),
        )
        .post(
            "/kv/import",
            with_faults(switch, server, |s, request, _pass| import(s, request)),
        )
        .get(
            "/load",
            with_faults(switch, server, |s, _request, _pass| load(s)),
        )
        .get(
            "/cache-events",
            with_faults(switch, server, |s, request, _pass| events(s, request)),
        )
        .post(
            "/orders",
            with_faults(switch, server, |s, request, _pass| order(s, request)),
        )
        .get(
            "/state",
            with_faults(switch, server, |s, _request, _pass| state(s)),
        );
    add_fault_routes(router, switch)
}

async fn decode<T: DeserializeOwned>(request: Request) -> Result<T, Response> {
    let body = read_body(request, MAX_BODY_BYTES).await;
    let body = body.map_err(|error| text_response(400, error.to_string()))?;
    from_json(&body).map_err(|error| text_response(400, error.to_string()))
}

fn not_run(status: u16, why: &'static str) -> Response {
    let mut answer = text_response(status, why);
    answer
        .headers_mut()
        .insert("x-not-run", HeaderValue::from_static("refused"));
    answer
}

async fn generate(server: Arc<EngineServer>, request: Request, pass: FaultPass) -> Response {
    let call = match decode::<EngineGenerate>(request).await {
        Ok(call) => call,
        Err(answer) => return answer,
    };
    if server.orders().state().drain {
        return not_run(503, "the engine drains");
    }
    let (sender, frames) = mpsc::unbounded_channel();
    server.batch().enqueue(call, sender);
    server.enqueued.notify_one();
    let lines = frame_lines(frames, Arc::clone(&server.switch), pass);
    stream_response(200, "application/x-ndjson", lines)
}

async fn cancel(server: Arc<EngineServer>, request: Request) -> Response {
    match decode::<EngineCancel>(request).await {
        Ok(order) => {
            server.batch().cancel(&(order.request, order.attempt));
            empty_response(204)
        }
        Err(answer) => answer,
    }
}

async fn export(server: Arc<EngineServer>, request: Request) -> Response {
    let order = match decode::<EngineExport>(request).await {
        Ok(order) => order,
        Err(answer) => return answer,
    };
    let Ok(target) = order.target.parse::<SocketAddr>() else {
        return text_response(400, "the target is no address");
    };
    let Some(kv) = server.batch().export(&(order.request, order.attempt)) else {
        return text_response(404, "no such attempt runs");
    };
    let Ok(body) = to_json(&kv) else {
        return text_response(500, "the cache cannot be encoded");
    };
    match server
        .caller
        .call(HttpRequest::post(target, "/kv/import", body))
        .await
    {
        Ok(answer) if answer.is_success() => match from_json::<EngineHandle>(&answer.body) {
            Ok(handle) => json_response(200, &handle),
            Err(error) => text_response(502, error.to_string()),
        },
        Ok(answer) => text_response(502, format!("the target answered {}", answer.status)),
        Err(error) => text_response(502, error.to_string()),
    }
}

async fn import(server: Arc<EngineServer>, request: Request) -> Response {
    match decode::<EngineImport>(request).await {
        Ok(kv) => {
            let handle = server.batch().import(kv);
            json_response(200, &EngineHandle { handle })
        }
        Err(answer) => answer,
    }
}

async fn load(server: Arc<EngineServer>) -> Response {
    let mut report = server.report.lock().unwrap_or_else(PoisonError::into_inner);
    if report.0.elapsed() >= Duration::from_millis(server.profile.report_lag_ms) {
        *report = (Instant::now(), server.batch().load());
    }
    json_response(200, &report.1)
}

async fn events(server: Arc<EngineServer>, request: Request) -> Response {
    let query = request.query::<HashMap<String, u64>>().unwrap_or_default();
    let from = query.get("from").copied().unwrap_or(0);
    let events = server.batch().feed.read(from);
    json_response(200, &events)
}

async fn order(server: Arc<EngineServer>, request: Request) -> Response {
    let order = match decode::<EngineOrder>(request).await {
        Ok(order) => order,
        Err(answer) => return answer,
    };
    match server.orders().take(order) {
        Ok(state) => json_response(200, &state),
        Err(state) => json_response(409, &state),
    }
}

async fn state(server: Arc<EngineServer>) -> Response {
    json_response(200, server.orders().state())
}
