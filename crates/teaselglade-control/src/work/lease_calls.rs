//! Log calls for the lease holder.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use teaselglade_core::port::{LogPort, StreamName};
use teaselglade_state::lease::LeaseEvent;

use crate::metrics::ControlMetrics;

/// Reads up to `max_records` records of the lease stream, without waiting for new ones.
pub(super) async fn read_leases(
    log: Arc<dyn LogPort>,
    metrics: Arc<ControlMetrics>,
    stream: StreamName,
    from: u64,
    max_records: u32,
) -> LeaseEvent {
    match log.read(&stream, from, max_records, Duration::ZERO).await {
        Ok(page) => LeaseEvent::Read(page),
        Err(_error) => {
            metrics.log_failures.inc();
            LeaseEvent::ReadFailed
        }
    }
}

/// Appends a record to the lease stream.
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
