//! Tells a fault of one server from one of the whole service.

use std::time::Duration;

use teaselglade_core::id::ServerKey;
use teaselglade_core::time::Timestamp;

/// Time in which losses at two servers count as one fault of the service.
const SPREAD_SPAN: Duration = Duration::from_secs(5);
/// Time for which progress at another server speaks for the service.
const PROGRESS_SPAN: Duration = Duration::from_secs(10);

/// Tells a fault of one server from one of the whole service.
#[derive(Debug, Clone, Default)]
pub(super) struct FaultScope {
    last_loss: Option<(ServerKey, Timestamp)>,
    spread_until: Timestamp,
    /// Latest progress, and the latest at any other server.
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
        let other = self.last_loss.filter(|(lost, _)| *lost != server);
        if other.is_some_and(|(_, at)| now - at < SPREAD_SPAN) {
            self.spread_until = now + SPREAD_SPAN;
        }
        self.last_loss = Some((server, now));
    }

    /// Returns whether only `server` loses attempts while others make progress.
    pub(super) fn is_local(&self, now: Timestamp, server: ServerKey) -> bool {
        let mut progress = self.progress.iter().flatten();
        let is_alive = progress.any(|(at, time)| *at != server && now - *time < PROGRESS_SPAN);
        is_alive && now >= self.spread_until
    }
}
