//! Attempt of a stream at one engine.

use std::sync::Arc;

use bytes::Bytes;
use futures::future::BoxFuture;
use http_body_util::BodyExt;
use hyper::{HeaderMap, StatusCode};
use teaselglade_routing::attempt::AttemptOutcome;
use teaselglade_routing::event::{EventSplitter, MAX_EVENT_BYTES, SseEvent};
use tokio::time::Instant;

use super::call_context::CallContext;
use super::server_call::{FailedCall, SendTerms, ServerResponse, call_server};
use super::stream_reservation::StreamReservation;

/// What an attempt brought.
#[derive(Debug)]
pub(super) enum AttemptStep {
    /// One or more whole events.
    Events(Vec<SseEvent>),
    /// The stream is complete; holds the bytes after its last event.
    End(Bytes),
    /// The server responded with an error instead of a stream.
    ErrorResponse(Box<ServerResponse>),
    /// The attempt failed.
    Failed(FailedCall),
}

/// Attempt of a stream at one engine; its connection is closed on drop.
pub(super) struct EngineAttempt {
    pub(super) reservation: StreamReservation,
    pub(super) started_at: Instant,
    progress: CallProgress,
    splitter: EventSplitter,
}

/// Progress of the call to the engine.
enum CallProgress {
    /// The response head has not arrived.
    Sent(BoxFuture<'static, Result<Box<ServerResponse>, FailedCall>>),
    /// The response head has arrived, and the events follow.
    Open(Box<ServerResponse>),
    /// The call ended.
    Ended,
}

impl EngineAttempt {
    /// Creates the attempt; its request is sent when the first step is read.
    pub(super) fn new(
        context: &Arc<CallContext>,
        mut reservation: StreamReservation,
        last_event_id: Option<u64>,
    ) -> Self {
        let (context, server) = (Arc::clone(context), reservation.engine.server);
        let terms = SendTerms {
            resume_after: last_event_id,
            permit: reservation.take_permit(),
            is_exempt: reservation.is_exempt(),
        };
        let call = async move {
            let response = call_server(&context, server, terms).await;
            response.map(Box::new)
        };
        Self {
            reservation,
            started_at: Instant::now(),
            progress: CallProgress::Sent(Box::pin(call)),
            splitter: EventSplitter::default(),
        }
    }

    /// Reads until whole events, the end or a failure; nothing is lost if the future is dropped.
    pub(super) async fn next_step(&mut self) -> AttemptStep {
        let step = self.read_step().await;
        match &step {
            AttemptStep::ErrorResponse(response) if !response.status.is_client_error() => {
                self.reservation.record_failure(AttemptOutcome::Failed);
            }
            AttemptStep::Failed(failed) => self.reservation.record_failure(failed.outcome),
            _ => {}
        }
        step
    }

    async fn read_step(&mut self) -> AttemptStep {
        loop {
            match &mut self.progress {
                CallProgress::Sent(call) => match call.await {
                    Ok(response) if response.status.is_success() => {
                        self.progress = CallProgress::Open(response);
                    }
                    Ok(response) => {
                        self.progress = CallProgress::Ended;
                        return AttemptStep::ErrorResponse(response);
                    }
                    Err(failed) => {
                        self.progress = CallProgress::Ended;
                        return AttemptStep::Failed(failed);
                    }
                },
                CallProgress::Open(response) => {
                    let frame = match response.body.frame().await {
                        Some(Ok(frame)) => frame,
                        Some(Err(error)) => return broken(format!("the stream broke: {error}")),
                        None => return self.end(),
                    };
                    if let Ok(data) = frame.into_data()
                        && let Some(step) = self.decode(&data)
                    {
                        return step;
                    }
                }
                CallProgress::Ended => return broken("the attempt has ended"),
            }
        }
    }

    /// Returns the response's status and headers, once its head has arrived.
    pub(super) fn head(&self) -> Option<(StatusCode, &HeaderMap)> {
        match &self.progress {
            CallProgress::Open(response) => Some((response.status, &response.headers)),
            CallProgress::Sent(_) | CallProgress::Ended => None,
        }
    }

    /// Closes the connection, so that the engine stops, and returns the reservation.
    pub(super) fn close(self) -> StreamReservation {
        self.reservation
    }

    /// Returns the connection of a complete stream to the pool.
    pub(super) fn finish(self) {
        if let CallProgress::Open(response) = self.progress {
            response.connection.return_to_pool(&response.headers);
        }
    }

    /// Returns the step that the bytes complete, if any.
    fn decode(&mut self, data: &Bytes) -> Option<AttemptStep> {
        let events = self.splitter.push(data);
        if !events.is_empty() {
            self.reservation.record_events(events.len());
            return Some(AttemptStep::Events(events));
        }
        let is_oversized = self.splitter.is_oversized();
        is_oversized.then(|| broken(format!("an event is longer than {MAX_EVENT_BYTES} bytes")))
    }

    /// Returns the step at the end of the response's body.
    fn end(&mut self) -> AttemptStep {
        if self.splitter.has_partial_event() {
            return broken("the stream ended within an event");
        }
        AttemptStep::End(self.splitter.take_rest())
    }
}

fn broken(detail: impl Into<String>) -> AttemptStep {
    AttemptStep::Failed(FailedCall::new(AttemptOutcome::Broken, detail))
}
