//! State of an open request that its log line shows.

use teaselglade_core::id::ServerKey;
use teaselglade_core::time::Timestamp;
use teaselglade_routing::table::ResponseKind;

use super::RequestStage;

/// Request that has arrived and whose response has not ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OpenRequest {
    /// Id of the caller's attempt; empty if the request has none.
    pub id: String,
    /// Name of the route; empty until one has matched.
    pub route: String,
    /// Stage that the request has reached.
    pub stage: RequestStage,
    /// Server of the latest attempt.
    pub server: Option<ServerKey>,
    /// Time of arrival.
    pub arrived_at: Timestamp,
    /// Time by which the response is due; `None` until a route has matched.
    pub deadline: Option<Timestamp>,
    /// Time of the last event that a server sent.
    pub last_event_at: Option<Timestamp>,
    /// Kind of the response; `None` until a route has matched.
    pub kind: Option<ResponseKind>,
    /// Outcome that was logged for the response; `None` until then.
    pub outcome: Option<&'static str>,
    /// How the latest attempt failed.
    failure: Option<&'static str>,
    /// What kept another attempt from following it.
    obstacle: Option<&'static str>,
}

impl OpenRequest {
    /// Creates a request whose head has arrived.
    #[must_use]
    pub const fn new(id: String, arrived_at: Timestamp) -> Self {
        Self {
            id,
            route: String::new(),
            stage: RequestStage::ReadingBody,
            server: None,
            arrived_at,
            deadline: None,
            last_event_at: None,
            kind: None,
            outcome: None,
            failure: None,
            obstacle: None,
        }
    }

    /// Records that the request was admitted on a route.
    pub fn admit(&mut self, route: &str, kind: ResponseKind, deadline: Timestamp) {
        route.clone_into(&mut self.route);
        self.kind = Some(kind);
        self.deadline = Some(deadline);
        self.stage = RequestStage::AwaitingServer;
    }

    /// Records that an attempt starts at `server`.
    pub const fn start_attempt(&mut self, server: ServerKey) {
        self.server = Some(server);
        self.obstacle = None;
        self.await_server();
    }

    /// Records how an attempt ended without a whole response.
    pub const fn end_attempt(&mut self, failure: &'static str) {
        self.failure = Some(failure);
        self.await_server();
    }

    /// Records what kept another attempt from following the latest one.
    pub const fn give_up(&mut self, obstacle: &'static str) {
        self.obstacle = Some(obstacle);
    }

    const fn await_server(&mut self) {
        self.stage = match self.last_event_at {
            Some(_) => RequestStage::Resuming,
            None => RequestStage::AwaitingServer,
        };
    }

    /// Records that events of the stream arrived.
    pub const fn record_event(&mut self, now: Timestamp) {
        self.last_event_at = Some(now);
        self.stage = RequestStage::Streaming;
    }

    /// Records that the response is handed to the connection; a stream continues.
    pub fn start_response(&mut self) {
        if self.stage != RequestStage::Streaming {
            self.stage = RequestStage::Writing;
        }
    }

    /// Records the outcome that is logged for the response.
    pub const fn end(&mut self, outcome: &'static str) {
        self.outcome = Some(outcome);
    }

    /// Returns why the response was cut: how the latest attempt failed and why none followed.
    #[must_use]
    pub fn cut_cause(&self) -> String {
        let parts = self.failure.into_iter().chain(self.obstacle);
        let cause = parts.collect::<Vec<_>>().join("_");
        if cause.is_empty() {
            return "unknown".to_owned();
        }
        cause
    }
}
