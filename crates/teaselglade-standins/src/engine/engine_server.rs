//! HTTP routes of a model engine.

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
use super::engine_batch::EngineBatch;
use super::engine_orders::EngineOrders;
use super::engine_response::frame_lines;
use crate::fault::{CallFaults, FaultInjector, add_fault_routes, with_faults};

const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// A simulated model engine with continuous batching and a prefix cache.
#[derive(Debug)]
pub struct EngineServer {
    profile: EngineProfile,
    batch: Mutex<EngineBatch>,
    orders: Mutex<EngineOrders>,
    load_report: Mutex<(Instant, EngineLoad)>,
    enqueued: Notify,
    client: HttpClient,
    injector: Arc<FaultInjector>,
}

impl EngineServer {
    /// Creates an idle engine; [`EngineServer::run`] executes its steps.
    #[must_use]
    pub fn new(profile: EngineProfile) -> Arc<Self> {
        let batch = EngineBatch::new(profile);
        let load_report = Mutex::new((Instant::now(), batch.load()));
        Arc::new(Self {
            profile,
            batch: Mutex::new(batch),
            orders: Mutex::new(EngineOrders::new(profile.fenced)),
            load_report,
            enqueued: Notify::new(),
            client: HttpClient::default(),
            injector: Arc::default(),
        })
    }

    /// Executes the engine's steps until the task is aborted.
    pub async fn run(self: Arc<Self>) {
        loop {
            let enqueued = self.enqueued.notified();
            if self.batch().is_idle() {
                enqueued.await;
            }
            let step_time = self.batch().begin_step();
            sleep(step_time).await;
            self.batch().end_step();
        }
    }

    /// Returns how many prompt and delivered tokens the engine has prefilled.
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

/// Builds the routes of an engine.
pub fn engine_router(server: &Arc<EngineServer>) -> Router {
    let injector = &server.injector;
    let router = Router::new()
        .post("/generate", with_faults(injector, server, generate))
        .post(
            "/cancel",
            with_faults(injector, server, |server, request, _faults| {
                cancel(server, request)
            }),
        )
        .post(
            "/kv/export",
            with_faults(injector, server, |server, request, _faults| {
                export(server, request)
            }),
        )
        .post(
            "/kv/import",
            with_faults(injector, server, |server, request, _faults| {
                import(server, request)
            }),
        )
        .get(
            "/load",
            with_faults(injector, server, |server, _request, _faults| load(server)),
        )
        .get(
            "/cache-events",
            with_faults(injector, server, |server, request, _faults| {
                events(server, request)
            }),
        )
        .post(
            "/orders",
            with_faults(injector, server, |server, request, _faults| {
                order(server, request)
            }),
        )
        .get(
            "/state",
            with_faults(injector, server, |server, _request, _faults| state(server)),
        );
    add_fault_routes(router, injector)
}

async fn decode<T: DeserializeOwned>(request: Request) -> Result<T, Response> {
    let body = read_body(request, MAX_BODY_BYTES).await;
    let body = body.map_err(|error| text_response(400, error.to_string()))?;
    from_json(&body).map_err(|error| text_response(400, error.to_string()))
}

fn refused_response(status: u16, reason: &'static str) -> Response {
    let mut response = text_response(status, reason);
    response
        .headers_mut()
        .insert("x-not-run", HeaderValue::from_static("refused"));
    response
}

async fn generate(server: Arc<EngineServer>, request: Request, faults: CallFaults) -> Response {
    let call = match decode::<EngineGenerate>(request).await {
        Ok(call) => call,
        Err(response) => return response,
    };
    if server.orders().state().drain {
        return refused_response(503, "the engine drains");
    }
    let (sender, frames) = mpsc::unbounded_channel();
    server.batch().enqueue(call, sender);
    server.enqueued.notify_one();
    let lines = frame_lines(frames, Arc::clone(&server.injector), faults);
    stream_response(200, "application/x-ndjson", lines)
}

async fn cancel(server: Arc<EngineServer>, request: Request) -> Response {
    match decode::<EngineCancel>(request).await {
        Ok(call) => {
            server.batch().cancel(&(call.request, call.attempt));
            empty_response(204)
        }
        Err(response) => response,
    }
}

async fn export(server: Arc<EngineServer>, request: Request) -> Response {
    let call = match decode::<EngineExport>(request).await {
        Ok(call) => call,
        Err(response) => return response,
    };
    let Ok(target) = call.target.parse::<SocketAddr>() else {
        return text_response(400, "the target is no address");
    };
    let Some(kv) = server.batch().export(&(call.request, call.attempt)) else {
        return text_response(404, "no such attempt runs");
    };
    let Ok(body) = to_json(&kv) else {
        return text_response(500, "the cache cannot be encoded");
    };
    match server
        .client
        .call(HttpRequest::post(target, "/kv/import", body))
        .await
    {
        Ok(response) if response.is_success() => match from_json::<EngineHandle>(&response.body) {
            Ok(handle) => json_response(200, &handle),
            Err(error) => text_response(502, error.to_string()),
        },
        Ok(response) => text_response(502, format!("the target answered {}", response.status)),
        Err(error) => text_response(502, error.to_string()),
    }
}

async fn import(server: Arc<EngineServer>, request: Request) -> Response {
    match decode::<EngineImport>(request).await {
        Ok(kv) => {
            let handle = server.batch().import(kv);
            json_response(200, &EngineHandle { handle })
        }
        Err(response) => response,
    }
}

async fn load(server: Arc<EngineServer>) -> Response {
    let mut load_report = server
        .load_report
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    if load_report.0.elapsed() >= Duration::from_millis(server.profile.report_lag_ms) {
        *load_report = (Instant::now(), server.batch().load());
    }
    json_response(200, &load_report.1)
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
        Err(response) => return response,
    };
    match server.orders().apply(order) {
        Ok(state) => json_response(200, &state),
        Err(state) => json_response(409, &state),
    }
}

async fn state(server: Arc<EngineServer>) -> Response {
    json_response(200, server.orders().state())
}
