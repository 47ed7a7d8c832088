//! Decides when an attempt without progress is abandoned.

use std::sync::Arc;
use std::time::Duration;

use teaselglade_core::id::ServerKey;
use teaselglade_routing::attempt::AttemptOutcome;
use tokio::time::{Instant, sleep, sleep_until};

use super::call_context::CallContext;
use super::server_call::FailedCall;

/// Interval between checks of an attempt that made no progress in time.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// Waits until an attempt that makes no progress must be abandoned.
///
/// Silence alone is no failure: an engine with a queue is silent too, and its answer would still be
/// delivered, though late. From `deadline` on, the attempt is abandoned once its server accepts no
/// connections, or once another server can take the stream and the retry budget allows it. Never
/// returns for an attempt that may not be abandoned, which has no deadline.
pub(super) async fn wait_for_stall(
    context: Arc<CallContext>,
    tried: Vec<ServerKey>,
    deadline: Option<Instant>,
) -> FailedCall {
    let (Some(server), Some(deadline)) = (tried.last().copied(), deadline) else {
        return std::future::pending().await;
    };
    sleep_until(deadline).await;
    loop {
        if !is_reachable(&context, server).await {
            return stall_failure("no event, and the server is unreachable");
        }
        if has_other_server(&context, &tried) && context.may_retry() {
            return stall_failure("no event for too long");
        }
        sleep(CHECK_INTERVAL).await;
    }
}

/// Returns whether a server that was not tried yet accepts new work.
fn has_other_server(context: &CallContext, tried: &[ServerKey]) -> bool {
    let decisions = context.host.lock_decisions();
    let now = context.host.now();
    let mut servers = decisions.registry.available(now, &context.service.name);
    servers.any(|(server, _)| !tried.contains(&server))
}

/// Returns whether the server accepts a connection, which is kept for later requests.
async fn is_reachable(context: &CallContext, server: ServerKey) -> bool {
    let address = {
        let decisions = context.host.lock_decisions();
        decisions.registry.server(server).registration.address
    };
    let opened = context.host.pool.open_idle(server, address).await;
    if opened.is_ok() {
        context.host.metrics.connections.inc();
    }
    opened.is_ok()
}

/// Returns the failure of an attempt whose next event took too long.
fn stall_failure(detail: &str) -> FailedCall {
    FailedCall::new(AttemptOutcome::TimedOut, detail)
}
