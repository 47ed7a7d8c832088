//! HTTP routes of the log.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use teaselglade_core::port::{ClockPort, LogPage};
use teaselglade_core::time::Timestamp;
use teaselglade_net::clock::SystemClock;
use teaselglade_net::server::{json_response, read_body, text_response};
use teaselglade_wire::{LogAppended, LogEntries, LogEntry};
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};
use viz::{Request, RequestExt, Response, Router};

use super::LogStore;
use crate::fault::{FaultInjector, add_fault_routes, with_faults};

const MAX_RECORD_BYTES: usize = 1024 * 1024;
const MAX_WAIT: Duration = Duration::from_secs(30);
const DEFAULT_MAX_RECORDS: usize = 1_000;

/// Retention and append rate of the log.
#[derive(Debug, Clone, Copy)]
pub struct LogLimits {
    /// How long records are retained.
    pub retention: Duration,
    /// Maximum number of appends per second.
    pub appends_per_second: u32,
}

impl Default for LogLimits {
    fn default() -> Self {
        Self {
            retention: Duration::from_hours(24),
            appends_per_second: 400,
        }
    }
}

#[derive(Debug)]
struct LogState {
    store: LogStore,
    window_start: Timestamp,
    window_appends: u32,
    total_appends: u64,
}

#[derive(Debug)]
struct LogServer {
    clock: SystemClock,
    limits: LogLimits,
    state: Mutex<LogState>,
    appended: Notify,
}

/// Builds the routes of a log.
#[must_use]
pub fn log_router(limits: LogLimits) -> Router {
    let injector = Arc::new(FaultInjector::default());
    let clock = SystemClock::start();
    let state = LogState {
        store: LogStore::new(limits.retention),
        window_start: clock.now(),
        window_appends: 0,
        total_appends: 0,
    };
    let state = Mutex::new(state);
    let server = Arc::new(LogServer {
        clock,
        limits,
        state,
        appended: Notify::new(),
    });
    let router = Router::new()
        .post(
            "/streams/:stream/records",
            with_faults(&injector, &server, |server, request, _faults| {
                append(server, request)
            }),
        )
        .get(
            "/streams/:stream/records",
            with_faults(&injector, &server, |server, request, _faults| {
                read(server, request)
            }),
        )
        .get(
            "/appends",
            with_faults(&injector, &server, |server, _request, _faults| {
                count_appends(server)
            }),
        );
    add_fault_routes(router, &injector)
}

impl LogServer {
    fn lock(&self) -> MutexGuard<'_, LogState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn admit_append(&self, state: &mut LogState) -> bool {
        let now = self.clock.now();
        if now.since(state.window_start) >= Duration::from_secs(1) {
            state.window_start = now;
            state.window_appends = 0;
        }
        state.window_appends += 1;
        state.window_appends <= self.limits.appends_per_second
    }
}

async fn append(server: Arc<LogServer>, request: Request) -> Response {
    let Ok(stream) = request.param::<String>("stream") else {
        return text_response(400, "the stream's name is malformed");
    };
    let body = match read_body(request, MAX_RECORD_BYTES).await {
        Ok(body) => body,
        Err(error) => return text_response(400, error.to_string()),
    };
    let mut state = server.lock();
    if !server.admit_append(&mut state) {
        return text_response(429, "too many appends a second");
    }
    state.total_appends += 1;
    let offset = state.store.append(&stream, body, server.clock.now());
    drop(state);
    server.appended.notify_waiters();
    json_response(200, &LogAppended { offset })
}

async fn read(server: Arc<LogServer>, request: Request) -> Response {
    let Ok(stream) = request.param::<String>("stream") else {
        return text_response(400, "the stream's name is malformed");
    };
    let query = request.query::<HashMap<String, u64>>().unwrap_or_default();
    let from = query.get("from").copied().unwrap_or(0);
    let max_records = query
        .get("most")
        .map_or(DEFAULT_MAX_RECORDS, |max_records| *max_records as usize);
    let wait = Duration::from_millis(query.get("wait_ms").copied().unwrap_or(0)).min(MAX_WAIT);
    let deadline = Instant::now() + wait;
    loop {
        let appended = server.appended.notified();
        let page = read_page(&server, &stream, from, max_records);
        if !page.records.is_empty() {
            return json_response(200, &log_entries(&page));
        }
        if timeout_at(deadline, appended).await.is_err() {
            return json_response(200, &log_entries(&page));
        }
    }
}

fn read_page(server: &LogServer, stream: &str, from: u64, max_records: usize) -> LogPage {
    let mut state = server.lock();
    state.store.remove_expired(server.clock.now());
    state.store.read(stream, from, max_records)
}

async fn count_appends(server: Arc<LogServer>) -> Response {
    json_response(200, &server.lock().total_appends)
}

fn log_entries(page: &LogPage) -> LogEntries {
    let records = page.records.iter().map(|record| LogEntry {
        offset: record.offset,
        appended_ms: record.appended.as_millis(),
        body: STANDARD.encode(&record.body),
    });
    LogEntries {
        first: page.first,
        end: page.end,
        records: records.collect(),
    }
}
