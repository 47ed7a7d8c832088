//! Wait of an attempt for its turn at limited servers.

use std::sync::Arc;
use std::time::Duration;

use teaselglade_core::id::ServerKey;
use teaselglade_core::time::Timestamp;
use tokio::time::sleep;

use super::call_context::CallContext;
use crate::permit::{SendPermit, request_permit};

/// Fraction of the time to the latency target for which a new request may wait for its turn.
const HOLD_FRACTION: f64 = 0.25;
/// Fraction of the time to the deadline for which a begun stream may wait for its turn.
///
/// It must not be cut while a server could still go on with it.
const CONTINUED_HOLD_FRACTION: f64 = 0.5;

/// Shortest wait for a permit that is logged; shorter ones are the time of the messages.
const MIN_LOGGED_WAIT: Duration = Duration::from_millis(20);

/// Wait of an attempt for its turn at limited servers.
#[derive(Debug)]
pub(super) struct ServerTurn {
    context: Arc<CallContext>,
    hold_until: Timestamp,
    /// Time by which an answer is wanted: the latency target, or the deadline of a begun stream.
    wanted_by: Timestamp,
}

impl ServerTurn {
    /// Starts the wait of an attempt; `is_continued` if its stream has begun before.
    pub(super) fn new(context: &Arc<CallContext>, is_continued: bool) -> Self {
        let (time_left, hold_fraction) = if is_continued {
            (context.time_left(), CONTINUED_HOLD_FRACTION)
        } else {
            (context.target_time_left(), HOLD_FRACTION)
        };
        let now = context.host.now();
        Self {
            hold_until: now + time_left.mul_f64(hold_fraction),
            wanted_by: now + time_left,
            context: Arc::clone(context),
        }
    }

    /// Starts the wait of an attempt that takes no other than a free turn.
    pub(super) fn without_hold(context: &Arc<CallContext>) -> Self {
        Self {
            hold_until: Timestamp::ZERO,
            wanted_by: context.deadline,
            context: Arc::clone(context),
        }
    }

    /// Requests a permit for a server; `None` if it is denied.
    ///
    /// The request waits for its turn only if no untried server takes it at once.
    pub(super) async fn request(
        &self,
        server: ServerKey,
        tried: &[ServerKey],
    ) -> Option<SendPermit> {
        let host = &self.context.host;
        let now = host.now();
        let has_other_server = {
            let decisions = host.lock_decisions();
            let mut servers = decisions
                .registry
                .available(now, &self.context.service.name);
            servers.any(|(key, _)| key != server && !tried.contains(&key))
        };
        let max_wait = if has_other_server {
            Duration::ZERO
        } else {
            self.hold_until.since(now)
        };
        let time_left = self.wanted_by.since(now);
        let permit = request_permit(host, server, time_left, max_wait).await;
        let permit = permit.ok()?;
        let waited = host.now().since(now);
        if !max_wait.is_zero() && waited >= MIN_LOGGED_WAIT {
            self.log_wait(&host.server_id(server), waited);
        }
        Some(permit)
    }

    /// Waits until the first limited server may be asked again; returns whether the hold allows it.
    pub(super) async fn wait_for_first(&self) -> bool {
        let host = &self.context.host;
        let service = &self.context.service.name;
        let now = host.now();
        let returns_at = {
            let registry = &host.lock_decisions().registry;
            let returns_at = registry.next_return(now, service);
            returns_at.filter(|_| registry.awaits_permit(now, service))
        };
        match returns_at {
            Some(returns_at) if returns_at <= self.hold_until => {
                let wait = returns_at.since(now);
                sleep(wait).await;
                self.log_wait("", wait);
                true
            }
            _ => false,
        }
    }

    fn log_wait(&self, server_id: &str, waited: Duration) {
        let host = &self.context.host;
        let id = &self.context.id;
        host.log.turn_waited(host.now(), id, server_id, waited);
    }
}
