//! Log lines on what is left when a host has stopped waiting for its callers.

use std::time::Duration;

use tracing::{info, warn};

use crate::open::{OpenRequest, RequestStage};
use crate::state::HostState;

/// Logs how many requests are open, then each of them by its id.
///
/// One line for each keeps a line short and lets it be found by the id; the total shows whether any
/// of them is missing.
pub(super) fn log_open_requests(host: &HostState) {
    let now = host.now();
    let open: Vec<OpenRequest> = host.lock_open_requests().iter().cloned().collect();
    let stages = RequestStage::ALL.map(|stage| {
        let count = open.iter().filter(|request| request.stage == stage).count();
        format!("{}:{count}", stage.name())
    });
    let stages = stages.join(" ");
    info!(event = "requests_in_hand", requests = open.len(), stages);
    for request in open {
        let server = request.server.map(|server| host.server_id(server));
        let time_left = request.deadline.map(|deadline| deadline.since(now));
        let event_age = request.last_event_at.map(|at| now.since(at));
        warn!(
            event = "request_in_hand",
            id = request.id,
            route = request.route,
            stage = request.stage.name(),
            server,
            elapsed_ms = millis(now.since(request.arrived_at)),
            left_ms = time_left.map(millis),
            event_age_ms = event_age.map(millis),
        );
    }
}

fn millis(duration: Duration) -> u64 {
    duration.as_millis() as u64
}
