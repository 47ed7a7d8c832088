//! Checks whether a server ended after an attempt broke there.

use teaselglade_core::id::ServerKey;
use teaselglade_routing::engine::PromptShape;

use super::call_context::CallContext;
use crate::journal::LostAttemptFields;

/// Result of connecting to a server after an attempt broke there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ServerCheck {
    /// The server accepts connections; only the attempt's connection was lost.
    Accepts,
    /// Nothing listens at the server's address; its process ended.
    Refuses,
    /// No answer; the server may be gone, or the path to it cut.
    Silent,
}

impl ServerCheck {
    /// Returns the name of the result in log lines.
    const fn name(self) -> &'static str {
        match self {
            Self::Accepts => "accepts",
            Self::Refuses => "refuses",
            Self::Silent => "silent",
        }
    }
}

/// Connects to a server on which an attempt broke before it brought anything, and logs the result.
///
/// A connection that is made is kept for later requests.
pub(super) async fn check_server(context: &CallContext, server: ServerKey) -> ServerCheck {
    let host = &context.host;
    let (address, server_id, open_streams) = {
        let decisions = host.lock_decisions();
        let registration = &decisions.registry.server(server).registration;
        let open_streams = decisions.engine_placer.open_streams(server);
        (registration.address, registration.id.clone(), open_streams)
    };
    let check = match host.pool.open_idle(server, address).await {
        Ok(()) => {
            host.metrics.connections.inc();
            ServerCheck::Accepts
        }
        Err(error) if error.is_refused => {
            record_end(context, server);
            ServerCheck::Refuses
        }
        Err(_unanswered) => ServerCheck::Silent,
    };
    let parts = context.prompt.iter().flat_map(PromptShape::shared_ids);
    let fields = LostAttemptFields {
        server: &server_id,
        request: context.request_hash,
        parts: parts.collect(),
        open_streams,
        check: check.name(),
    };
    let organisation = context.organisation_name();
    host.log
        .lost_attempt(host.now(), &context.id, organisation, &fields);
    check
}

/// Records that a server ended under the attempt.
fn record_end(context: &CallContext, server: ServerKey) {
    let host = &context.host;
    let now = host.now();
    host.metrics.crashes.ended_servers.inc();
    let organisation = context.organisation_name();
    host.lock_decisions()
        .record_server_end(now, server, organisation, context.subjects());
}
