//! Log calls for the audit writer.

use std::sync::Arc;

use bytes::Bytes;
use teaselglade_core::port::{LogPort, StreamName};
use teaselglade_state::audit::AuditEvent;

use crate::metrics::ControlMetrics;

/// Appends an encoded batch of audit entries to the audit stream.
pub(super) async fn append_audit(
    log: Arc<dyn LogPort>,
    metrics: Arc<ControlMetrics>,
    body: Bytes,
) -> AuditEvent {
    metrics.log_appends.inc();
    match log.append(&StreamName::audit(), body).await {
        Ok(_offset) => AuditEvent::Appended,
        Err(_error) => {
            metrics.log_failures.inc();
            AuditEvent::AppendFailed
        }
    }
}
