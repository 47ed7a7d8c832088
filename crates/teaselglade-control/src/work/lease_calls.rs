//! Makes the calls that the lease asks for.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use teaselglade_core::port::{LogPort, StreamName};
use teaselglade_state::lease::LeaseEvent;

use crate::metrics::ControlMetrics;

/// Reads the lease stream.
pub(super) async fn read_leases(
    log: Arc<dyn LogPort>,
    metrics: Arc<ControlMetrics>,
    stream: StreamName,
    from: u64,
    most: u32,
) -> LeaseEvent {
    match log.read(&stream, from, most, Duration::ZERO).await {
        Ok(page) => LeaseEvent::Read(page),
        Err(_error) => {
            metrics.log_failures.inc();
            LeaseEvent::ReadFailed
        }
    }
}

/// Appends to the lease stream.
pub(super) async fn append_lease(
    log: Arc<dyn LogPort>,
    metrics: Arc<ControlMetrics>,
    stream: StreamName,
    body: Bytes,
) -> LeaseEvent {
    metrics.log_appends.inc();
    match log.append(&stream, body).await {
        Ok(_offset) => LeaseEvent::Appended,
        Err(_error) => {
            metrics.log_failures.inc();
            LeaseEvent::AppendFailed
        }
    }
}
