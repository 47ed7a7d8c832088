//! HTTP routes of a plain backend server.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use teaselglade_net::server::{json_response, read_body, text_response, with_state};
use teaselglade_wire::EngineLoad;
use tokio::time::sleep;
use viz::{Request, RequestExt, Response, Router};

use crate::fault::{FaultInjector, add_fault_routes, with_faults};

const MAX_BODY_BYTES: usize = 1024 * 1024;

/// Number of executions of plain servers, by idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ExecutionCounts {
    /// Executions by idempotency key.
    pub keyed: BTreeMap<String, u32>,
    /// Executions without an idempotency key.
    pub unkeyed: u32,
}

#[derive(Debug)]
struct PlainServer {
    work_time: Duration,
    counts: Arc<Mutex<ExecutionCounts>>,
}

/// Builds the routes of a plain server whose calls take `work_time`.
///
/// The server does not deduplicate by idempotency key: it executes every request that it receives.
/// `GET /executions` returns the counts; servers that share `counts` add to the same counts.
#[must_use]
pub fn plain_router(work_time: Duration, counts: &Arc<Mutex<ExecutionCounts>>) -> Router {
    let injector = Arc::new(FaultInjector::default());
    let server = Arc::new(PlainServer {
        work_time,
        counts: Arc::clone(counts),
    });
    let run = with_faults(&injector, &server, |server, request, _faults| {
        run(server, request)
    });
    let router = Router::new()
        .get(
            "/executions",
            with_state(&server, |server, _request| executions(server)),
        )
        .get(
            "/load",
            with_faults(&injector, &server, |_server, _request, _faults| load()),
        )
        .any("/*", run);
    add_fault_routes(router, &injector)
}

impl PlainServer {
    fn lock(&self) -> MutexGuard<'_, ExecutionCounts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn count(&self, key: Option<&str>) -> u32 {
        let mut counts = self.lock();
        let Some(key) = key else {
            counts.unkeyed += 1;
            return counts.unkeyed;
        };
        let count = counts.keyed.entry(key.to_owned()).or_insert(0);
        *count += 1;
        *count
    }
}

#[derive(Debug, Serialize)]
struct RunResponse {
    method: String,
    path: String,
    key: Option<String>,
    execution: u32,
    body: String,
}

async fn run(server: Arc<PlainServer>, request: Request) -> Response {
    let key = request.header::<_, String>("idempotency-key");
    let method = request.method().to_string();
    let path = request.path().to_owned();
    let body = match read_body(request, MAX_BODY_BYTES).await {
        Ok(body) => body,
        Err(error) => return text_response(400, error.to_string()),
    };
    let execution = server.count(key.as_deref());
    sleep(server.work_time).await;
    let body = String::from_utf8_lossy(&body).into_owned();
    json_response(
        200,
        &RunResponse {
            method,
            path,
            key,
            execution,
            body,
        },
    )
}

async fn executions(server: Arc<PlainServer>) -> Response {
    json_response(200, &*server.lock())
}

async fn load() -> Response {
    let load = EngineLoad {
        running: 0,
        waiting: 0,
        tokens_per_second: 0.0,
        token_gap_micros: 0,
        prefill_tokens_per_second: 0.0,
        kv_free: 1.0,
    };
    json_response(200, &load)
}
