//! Scope of a fault: one server or the whole service.

use std::time::Duration;

use teaselglade_core::id::ServerKey;
use teaselglade_core::time::Timestamp;

/// Time within which losses at two servers count as a fault of the whole service.
const SERVICE_FAULT_WINDOW: Duration = Duration::from_secs(5);
/// Time for which progress at another server shows that the service works.
const PROGRESS_TTL: Duration = Duration::from_secs(10);

/// Distinguishes faults of one server from faults of the whole service.
#[derive(Debug, Clone, Default)]
pub(super) struct FaultScope {
    last_loss: Option<(ServerKey, Timestamp)>,
    /// Until when losses count as faults of the whole service.
    service_fault_until: Timestamp,
    /// The latest progress, and the latest progress at another server.
    progress: [Option<(ServerKey, Timestamp)>; 2],
}

impl FaultScope {
    pub(super) fn record_progress(&mut self, now: Timestamp, server: ServerKey) {
        if self.progress[0].is_some_and(|(latest, _)| latest != server) {
            self.progress[1] = self.progress[0];
        }
        self.progress[0] = Some((server, now));
    }

    pub(super) fn record_loss(&mut self, now: Timestamp, server: ServerKey) {
        let other_loss = self.last_loss.filter(|(lost, _)| *lost != server);
        if other_loss.is_some_and(|(_, lost_at)| now - lost_at < SERVICE_FAULT_WINDOW) {
            self.service_fault_until = now + SERVICE_FAULT_WINDOW;
        }
        self.last_loss = Some((server, now));
    }

    /// Returns whether only `server` loses attempts while others make progress.
    pub(super) fn is_single_server_fault(&self, now: Timestamp, server: ServerKey) -> bool {
        let mut progress = self.progress.iter().flatten();
        let is_service_up = progress
            .any(|(other, progressed_at)| *other != server && now - *progressed_at < PROGRESS_TTL);
        is_service_up && now >= self.service_fault_until
    }
}
