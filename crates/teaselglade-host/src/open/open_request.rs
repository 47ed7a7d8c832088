//! State of an open request that its log line shows.

use teaselglade_core::id::ServerKey;
use teaselglade_core::time::Timestamp;

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
        }
    }

    /// Records that the request was admitted on a route.
    pub fn admit(&mut self, route: &str, deadline: Timestamp) {
        route.clone_into(&mut self.route);
        self.deadline = Some(deadline);
        self.stage = RequestStage::AwaitingServer;
    }

    /// Records that an attempt starts at `server`.
    pub const fn start_attempt(&mut self, server: ServerKey) {
        self.server = Some(server);
        self.end_attempt();
    }

    /// Records that an attempt ended without a whole response.
    pub const fn end_attempt(&mut self) {
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
}
