//! Keeps a request among the open ones until its response has ended.

use std::sync::Arc;

use teaselglade_core::time::Timestamp;
use teaselglade_routing::table::ResponseKind;

use super::{OpenRequest, RequestKey};
use crate::state::HostState;

/// Keeps a request among the open ones until it is dropped.
#[derive(Debug)]
pub struct RequestGuard {
    host: Arc<HostState>,
    /// Key of the request.
    pub key: RequestKey,
    /// Time of arrival.
    pub arrived_at: Timestamp,
    /// Whether the connection has taken the whole response, or its error.
    pub is_taken: bool,
}

impl RequestGuard {
    /// Adds a request whose head has arrived now.
    #[must_use]
    pub fn open(host: &Arc<HostState>, id: &str) -> Self {
        let arrived_at = host.now();
        let request = OpenRequest::new(id.to_owned(), arrived_at);
        let key = host.lock_open_requests().insert(request);
        Self {
            host: Arc::clone(host),
            key,
            arrived_at,
            is_taken: false,
        }
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let removed = self.host.lock_open_requests().remove(self.key);
        if let Some(request) = removed {
            record_end(&self.host, &request, self.is_taken);
        }
    }
}

/// Counts the end of a request by its cause; logs one whose response was not taken.
fn record_end(host: &HostState, request: &OpenRequest, is_taken: bool) {
    let kind = match request.kind {
        Some(ResponseKind::Stream) => "stream",
        Some(ResponseKind::Plain) => "plain",
        None => "none",
    };
    let count = |cause: &str| host.metrics.ends.count(kind, cause);
    match request.outcome {
        Some("cut") => count(&request.cut_cause()),
        Some(outcome @ ("caller_left" | "process_ended")) => count(outcome),
        Some(outcome) if is_taken => count(outcome),
        _ => {
            let cause = host.departure_cause();
            count(cause);
            let server = request.server.map(|server| host.server_id(server));
            host.log
                .dropped(host.now(), request, server.as_deref(), cause);
        }
    }
}
