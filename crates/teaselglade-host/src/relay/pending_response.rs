//! Request that was sent and whose response is not accepted yet.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use hyper::{Request, Response, StatusCode};
use teaselglade_core::id::ServerKey;
use teaselglade_core::time::Timestamp;
use teaselglade_core::verdict::SendProgress;
use teaselglade_routing::table::ResponseKind;
use tokio::runtime::Handle;

use super::call_context::CallContext;
use crate::upstream::{LeasedConnection, SendError};

/// Longest time for which the response to a plain call is awaited after its attempt.
///
/// Otherwise servers that hang would hold connections for as long as callers may wait.
const MAX_PLAIN_TIME: Duration = Duration::from_secs(5);
/// Longest time for which a response is read that crosses the end of its attempt.
///
/// The server may work until the connection closes. The shortest bound on that is 400 ms, from when a
/// stream goes on at another server.
const CROSSING_TIME: Duration = Duration::from_millis(100);
/// Longest time for which a stream's response is awaited behind an unmatched one.
const UNMATCHED_STREAM_TIME: Duration = Duration::from_millis(250);

type Result<T> = std::result::Result<T, SendError>;

/// Request that was sent and whose response is not accepted yet.
///
/// If it is dropped, the attempt has ended. What the server still responds is then read in the
/// background for what the server says of itself; nothing else of it is used.
pub(super) struct PendingResponse<'a> {
    pub(super) context: &'a CallContext,
    pub(super) server: ServerKey,
    pub(super) sent_at: Timestamp,
    /// Present until the response is accepted or given up.
    connection: Option<LeasedConnection>,
}

impl<'a> PendingResponse<'a> {
    /// Creates the state of a request that is about to be sent.
    pub(super) fn new(
        context: &'a CallContext,
        server: ServerKey,
        connection: LeasedConnection,
    ) -> Self {
        Self {
            context,
            server,
            sent_at: context.host.now(),
            connection: Some(connection),
        }
    }

    /// Sends the request and waits for the head of a response.
    ///
    /// # Errors
    ///
    /// Fails like [`LeasedConnection::send`]; no response is read later if nothing was sent.
    pub(super) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>> {
        let Some(connection) = &mut self.connection else {
            let detail = "the connection is closed";
            return Err(SendError::new(SendProgress::NotSent, detail));
        };
        let sent = connection.send(request).await;
        if matches!(&sent, Err(error) if error.progress == SendProgress::NotSent) {
            self.connection = None;
        }
        sent
    }

    /// Accepts the response as the one to the request; returns the connection.
    pub(super) fn accept(mut self) -> Option<LeasedConnection> {
        let connection = self.connection.take()?;
        connection.accept_response();
        Some(connection)
    }

    /// Fails the attempt after a response that does not match, whose body has been dropped.
    ///
    /// The response to the request may be behind it.
    pub(super) fn read_behind_unmatched(mut self) {
        let limit = match self.context.route.response_kind {
            ResponseKind::Plain => self.plain_limit(),
            ResponseKind::Stream => UNMATCHED_STREAM_TIME,
        };
        self.read_late(limit);
    }

    /// Returns the time in which a server may respond to a plain call.
    fn plain_limit(&self) -> Duration {
        (self.context.time_left() + CROSSING_TIME).min(MAX_PLAIN_TIME)
    }

    /// Reads the response in the background, for `limit` at most.
    fn read_late(&mut self, limit: Duration) {
        let connection = self.connection.take();
        let late = connection.and_then(LeasedConnection::await_late_response);
        // There is no runtime any more if the host is being torn down.
        let (Some(late), Ok(runtime)) = (late, Handle::try_current()) else {
            return;
        };
        let (host, attempt) = (Arc::clone(&self.context.host), self.context.id.clone());
        let (server, sent_at) = (self.server, self.sent_at);
        runtime.spawn(async move {
            let messages = &host.ports.messages;
            let is_match = |status, headers: &HeaderMap| {
                let head = messages.read_response(status, headers);
                status != StatusCode::MISDIRECTED_REQUEST && head.attempt.as_ref() == Some(&attempt)
            };
            if let Some((status, headers)) = late.read(limit, is_match).await {
                let advice = messages.read_response(status, &headers).advice;
                host.apply_advice(server, sent_at, advice);
            }
        });
    }
}

impl Drop for PendingResponse<'_> {
    fn drop(&mut self) {
        // A caller that left wants its server to stop; one that has its answer does not mind.
        let limit = match self.context.route.response_kind {
            ResponseKind::Plain if self.context.is_decided() => self.plain_limit(),
            _ => CROSSING_TIME,
        };
        self.read_late(limit);
    }
}
