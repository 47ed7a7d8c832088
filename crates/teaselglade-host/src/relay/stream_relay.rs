//! Relays event streams and resumes them at another server after a failure.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::stream::unfold;
use http_body_util::{BodyExt, Limited, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::{HeaderMap, StatusCode};
use teaselglade_core::verdict::{ExecutionVerdict, RefusalReason, RequestRefusal};
use teaselglade_routing::attempt::{AttemptOutcome, AttemptTracker, NextStep};
use teaselglade_routing::event::{EventSplitter, MAX_EVENT_BYTES};
use teaselglade_routing::table::RetryPolicy;
use tokio::time::{Instant, sleep};

use super::call_context::CallContext;
use super::plain_relay::final_refusal;
use super::response_body::{AbortedResponse, ResponseBody, full_body};
use super::server_call::{FailedCall, ServerResponse, call_server};
use super::server_check::check_server;
use super::stall_watch::wait_for_stall;
use super::stream_reservation::{StreamAttempt, StreamReservation};
use super::{CallerResponse, Result};
use crate::upstream::LeasedConnection;

/// Largest body of an error response on a stream route.
const MAX_ERROR_BODY_BYTES: usize = 1024 * 1024;
/// Multiple of the gap target without an event after which a resumable stream is moved to another
/// server.
const STALL_GAP_FACTOR: f64 = 2.5;
/// Multiple of the target, or of the predicted latency if that is longer, after which a resumable
/// stream without a first event is moved to another server.
const STALL_TARGET_FACTOR: f64 = 1.6;
/// Gap target of routes that set none.
const DEFAULT_GAP_TARGET: Duration = Duration::from_millis(800);

/// Stream whose response head has arrived from a server.
#[derive(Debug)]
struct OpenStream {
    reservation: StreamReservation,
    connection: LeasedConnection,
    headers: HeaderMap,
    body: Incoming,
}

/// Result of reading from the open stream.
#[derive(Debug)]
enum StreamStep {
    /// One or more whole events.
    Events(Bytes),
    /// The stream is complete.
    End,
    /// The attempt failed.
    Failed(FailedCall),
}

/// State of one stream while it is relayed to the caller.
#[derive(Debug)]
struct StreamRelay {
    context: Arc<CallContext>,
    tracker: AttemptTracker,
    open_stream: Option<OpenStream>,
    splitter: EventSplitter,
    pending_events: VecDeque<Bytes>,
    /// Id of the last event that was forwarded to the caller or that the caller already had.
    last_event_id: Option<u64>,
    status: StatusCode,
    /// Time from the request's arrival to the first event.
    time_to_first_event: Option<Duration>,
    /// Id of the latest attempt's server.
    server_id: String,
    is_finished: bool,
}

/// Relays a stream; returns the response head once the first event has arrived.
///
/// Until then a failed attempt can be retried, or end in a refusal with a status of its own.
///
/// # Errors
///
/// Returns a refusal if no engine accepts the stream or no further attempt is allowed.
pub(super) async fn relay_stream(context: &Arc<CallContext>) -> Result<CallerResponse> {
    let tracker = AttemptTracker::new(context.route.retry_policy, context.route.max_attempts);
    let mut relay = StreamRelay {
        context: Arc::clone(context),
        tracker,
        open_stream: None,
        splitter: EventSplitter::default(),
        pending_events: VecDeque::new(),
        last_event_id: context.resume_after,
        status: StatusCode::OK,
        time_to_first_event: None,
        server_id: String::new(),
        is_finished: false,
    };
    let mut is_continued = false;
    loop {
        let failed = match relay.start_attempt(is_continued).await? {
            AttemptStart::Response(response) => return Ok(response),
            AttemptStart::Stream(headers) => return Ok(relay.into_response(&headers)),
            AttemptStart::Failed(failed) => failed,
        };
        relay.prepare_next(failed).await?;
        is_continued = true;
    }
}

/// Result of starting an attempt.
enum AttemptStart {
    /// The server responded with an error instead of a stream.
    Response(CallerResponse),
    /// The first event has arrived, or the stream ended without one; holds the response headers.
    Stream(HeaderMap),
    /// The attempt failed.
    Failed((StreamReservation, FailedCall)),
}

impl StreamRelay {
    /// Places the stream, sends the request and waits for the first event.
    async fn start_attempt(&mut self, is_continued: bool) -> Result<AttemptStart> {
        let context = Arc::clone(&self.context);
        let tried = self.tracker.tried();
        let attempt = StreamAttempt {
            tried: &tried,
            number: self.tracker.attempts() + 1,
            is_continued,
            has_events: self.time_to_first_event.is_some(),
        };
        let reservation = StreamReservation::place(&context, &attempt)
            .map_err(|refusal| refusal.after_attempts(self.tracker.verdict()))?;
        self.tracker.begin_attempt(reservation.engine.server);
        // Bytes of an event that the previous attempt left incomplete must not precede this one's.
        self.splitter = EventSplitter::default();
        self.server_id.clone_from(&reservation.server_id);
        let stall_deadline = self.first_event_deadline(&reservation);
        let result = tokio::select! {
            result = call_server(&context, reservation.engine.server, self.last_event_id) => result,
            stalled = self.watch_stall(stall_deadline) => Err(stalled),
        };
        let response = match result {
            Ok(response) => response,
            Err(failed) => return Ok(AttemptStart::Failed((reservation, failed))),
        };
        if !response.status.is_success() {
            return Ok(AttemptStart::Response(
                self.forward_error(&reservation, response).await?,
            ));
        }
        self.status = response.status;
        let headers = response.headers.clone();
        self.open_stream = Some(OpenStream {
            reservation,
            connection: response.connection,
            headers: response.headers,
            body: response.body,
        });
        match self.read_step(stall_deadline).await {
            StreamStep::Events(events) => self.pending_events.push_back(events),
            StreamStep::End => {}
            StreamStep::Failed(failed) => {
                return Ok(match self.open_stream.take() {
                    Some(open_stream) => AttemptStart::Failed((open_stream.reservation, failed)),
                    None => {
                        return Err(final_refusal(
                            &self.context,
                            self.tracker.verdict(),
                            &failed,
                        ));
                    }
                });
            }
        }
        Ok(AttemptStart::Stream(headers))
    }

    /// Records a failed attempt and waits until the next one may start.
    ///
    /// # Errors
    ///
    /// Returns the final refusal if no further attempt is allowed.
    async fn prepare_next(&mut self, failed: (StreamReservation, FailedCall)) -> Result<()> {
        let (reservation, failed) = failed;
        let next = self.record_failure(&reservation, &failed);
        self.check_lost_attempt(&reservation, &failed).await;
        drop(reservation);
        if self.wait_for_retry(next).await {
            return Ok(());
        }
        if failed.outcome == AttemptOutcome::TimedOut {
            return Err(RequestRefusal::with_verdict(
                ExecutionVerdict::MayHaveRun,
                RefusalReason::DeadlineExceeded,
                failed.detail,
            ));
        }
        Err(final_refusal(
            &self.context,
            self.tracker.verdict(),
            &failed,
        ))
    }

    /// Waits for the retry delay, if any; returns whether another attempt is allowed.
    async fn wait_for_retry(&mut self, next: NextStep) -> bool {
        match next {
            NextStep::Reconnect => true,
            NextStep::RetryWithinBudget => {
                let Some(delay) = self.context.take_retry(self.tracker.attempts()) else {
                    return false;
                };
                sleep(delay).await;
                true
            }
            NextStep::GiveUp(_verdict) => false,
        }
    }

    /// Records a failed attempt in the host's state and returns the next step.
    fn record_failure(&mut self, reservation: &StreamReservation, failed: &FailedCall) -> NextStep {
        let context = &self.context;
        let host = &context.host;
        let now = host.now();
        let server = reservation.engine.server;
        let mut decisions = host.lock_decisions();
        match failed.outcome {
            AttemptOutcome::Misdirected => decisions.registry.mark_replaced(now, server),
            AttemptOutcome::Rejected => {}
            _ => decisions.engine_placer.record_failure(now, server),
        }
        drop(decisions);
        let next = self.tracker.end_attempt(server, failed.outcome);
        context.record_attempt_end(&reservation.server_id, failed, next);
        next
    }

    /// Checks the server of an attempt that broke before its first event.
    async fn check_lost_attempt(&self, reservation: &StreamReservation, failed: &FailedCall) {
        if failed.outcome == AttemptOutcome::Broken && !reservation.has_first_event() {
            check_server(&self.context, reservation.engine.server).await;
        }
    }

    /// Forwards a server's error response to the caller.
    async fn forward_error(
        &mut self,
        reservation: &StreamReservation,
        response: ServerResponse,
    ) -> Result<CallerResponse> {
        let context = &self.context;
        let collected = Limited::new(response.body, MAX_ERROR_BODY_BYTES)
            .collect()
            .await;
        let body = match collected {
            Ok(body) => body.to_bytes(),
            Err(error) => {
                let detail = format!("the answer is cut: {error}");
                let failed = FailedCall::new(AttemptOutcome::Broken, detail);
                return Err(final_refusal(
                    &self.context,
                    ExecutionVerdict::MayHaveRun,
                    &failed,
                ));
            }
        };
        response.connection.return_to_pool(&response.headers);
        let status = response.status;
        context.record_response(
            &reservation.server_id,
            status.as_u16(),
            "server_failed",
            context.elapsed(),
        );
        Ok(context.forward_response(status, &response.headers, full_body(body)))
    }

    /// Builds the caller's response, whose body reads the stream's events.
    fn into_response(self, headers: &HeaderMap) -> CallerResponse {
        let (context, status) = (Arc::clone(&self.context), self.status);
        let events = unfold(self, |mut relay| async move {
            let frame = relay.next_events().await?;
            Some((frame.map(Frame::data), relay))
        });
        let body: ResponseBody = StreamBody::new(events).boxed_unsync();
        context.forward_response(status, headers, body)
    }

    /// Returns the next events for the caller; `None` after the end of the stream.
    async fn next_events(&mut self) -> Option<std::result::Result<Bytes, AbortedResponse>> {
        loop {
            if let Some(events) = self.pending_events.pop_front() {
                return Some(Ok(events));
            }
            if self.is_finished {
                return None;
            }
            let gap_target = self.context.route.gap_target.unwrap_or(DEFAULT_GAP_TARGET);
            let stall_deadline = self
                .may_resume()
                .then(|| Instant::now() + gap_target.mul_f64(STALL_GAP_FACTOR));
            match self.read_step(stall_deadline).await {
                StreamStep::Events(events) => self.pending_events.push_back(events),
                StreamStep::End => {}
                StreamStep::Failed(failed) => {
                    if !self.resume(failed).await {
                        self.is_finished = true;
                        self.log_end("cut");
                        return Some(Err(AbortedResponse));
                    }
                }
            }
        }
    }

    /// Resumes the stream after its last event at another server.
    ///
    /// Tries further servers for as long as attempts are allowed; returns whether one took over.
    async fn resume(&mut self, failed: FailedCall) -> bool {
        let Some(open_stream) = self.open_stream.take() else {
            return false;
        };
        // The connection is closed first, so that the previous server stops running the request.
        drop((open_stream.body, open_stream.connection));
        let (mut reservation, mut failed) = (open_stream.reservation, failed);
        loop {
            let next = self.record_failure(&reservation, &failed);
            self.check_lost_attempt(&reservation, &failed).await;
            drop(reservation);
            if !self.wait_for_retry(next).await {
                return false;
            }
            (reservation, failed) = match self.start_attempt(true).await {
                Ok(AttemptStart::Stream(_headers)) => return true,
                Ok(AttemptStart::Failed(next_failure)) => next_failure,
                Ok(AttemptStart::Response(_error_response)) => return false,
                Err(refusal) => {
                    self.log_placement_failure(&refusal);
                    return false;
                }
            };
        }
    }

    /// Logs why no server was available to resume the stream.
    fn log_placement_failure(&self, refusal: &RequestRefusal) {
        let host = &self.context.host;
        let (now, id) = (host.now(), &self.context.id);
        host.update_request(self.context.open_key, |open| open.give_up("no_server"));
        host.log
            .attempt_ended(now, id, "", "no_seat", &refusal.detail, "give_up");
    }

    /// Reads until whole events, the end or a failure of the current attempt.
    async fn read_step(&mut self, stall_deadline: Option<Instant>) -> StreamStep {
        let stalled = self.watch_stall(stall_deadline);
        tokio::pin!(stalled);
        loop {
            let time_left = self.context.time_left();
            let Some(open_stream) = self.open_stream.as_mut() else {
                return StreamStep::Failed(FailedCall::new(AttemptOutcome::Broken, "no attempt"));
            };
            let frame = tokio::select! {
                frame = open_stream.body.frame() => frame,
                () = sleep(time_left) => {
                    let detail = "not whole before the deadline";
                    return StreamStep::Failed(FailedCall::new(AttemptOutcome::TimedOut, detail));
                }
                failed = &mut stalled => return StreamStep::Failed(failed),
            };
            match frame {
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    let events = self.decode_events(&data);
                    if !events.is_empty() {
                        return StreamStep::Events(events);
                    }
                    if self.splitter.is_oversized() {
                        let detail = format!("an event is longer than {MAX_EVENT_BYTES} bytes");
                        return StreamStep::Failed(FailedCall::new(AttemptOutcome::Broken, detail));
                    }
                }
                Some(Err(error)) => {
                    let detail = format!("the stream broke: {error}");
                    return StreamStep::Failed(FailedCall::new(AttemptOutcome::Broken, detail));
                }
                None if self.splitter.has_partial_event() => {
                    let detail = "the stream ended within an event";
                    return StreamStep::Failed(FailedCall::new(AttemptOutcome::Broken, detail));
                }
                None => {
                    let rest = self.splitter.take_rest();
                    if !rest.is_empty() {
                        self.pending_events.push_back(rest);
                    }
                    self.finish();
                    return StreamStep::End;
                }
            }
        }
    }

    /// Returns the events that the bytes complete, without those that the caller already has.
    fn decode_events(&mut self, data: &Bytes) -> Bytes {
        let is_first = self.time_to_first_event.is_none();
        let sse_events = self.splitter.push(data);
        if sse_events.is_empty() {
            return Bytes::new();
        }
        if let Some(open_stream) = self.open_stream.as_mut() {
            open_stream.reservation.record_events();
        }
        if is_first {
            self.time_to_first_event = Some(self.context.elapsed());
            self.context.count_execution();
        }
        let mut events = Vec::new();
        for event in sse_events {
            let is_delivered =
                matches!((event.id, self.last_event_id), (Some(id), Some(last)) if id <= last);
            if is_delivered {
                continue;
            }
            self.last_event_id = event.id.or(self.last_event_id);
            events.push(event.bytes);
        }
        match events.len() {
            1 => events.swap_remove(0),
            _ => events.concat().into(),
        }
    }

    /// Ends the stream and returns its connection to the pool.
    fn finish(&mut self) {
        self.is_finished = true;
        if let Some(open_stream) = self.open_stream.take() {
            open_stream.connection.return_to_pool(&open_stream.headers);
            self.log_end("whole");
        }
    }

    /// Returns when a stream without a first event is moved; `None` if it may not be resumed.
    fn first_event_deadline(&self, reservation: &StreamReservation) -> Option<Instant> {
        let target = self.context.route.target.mul_f64(STALL_TARGET_FACTOR);
        let timeout = target.max(
            reservation
                .engine
                .predicted_latency
                .mul_f64(STALL_TARGET_FACTOR),
        );
        let may_move = self.may_resume() && !reservation.is_contained();
        may_move.then(|| Instant::now() + timeout)
    }

    /// Returns a future that ends when the current attempt must be abandoned for its silence.
    fn watch_stall(&self, deadline: Option<Instant>) -> impl Future<Output = FailedCall> + use<> {
        wait_for_stall(
            Arc::clone(&self.context),
            self.tracker.sent().to_vec(),
            deadline,
        )
    }

    /// Returns whether the stream may still be resumed at another server.
    fn may_resume(&self) -> bool {
        self.context.route.retry_policy == RetryPolicy::Resume && self.tracker.may_send()
    }

    /// Logs and counts the end of the stream.
    fn log_end(&self, outcome: &'static str) {
        let time_to_first_event = self
            .time_to_first_event
            .unwrap_or_else(|| self.context.elapsed());
        let status = self.status.as_u16();
        self.context
            .record_response(&self.server_id, status, outcome, time_to_first_event);
    }
}

impl Drop for StreamRelay {
    fn drop(&mut self) {
        if !self.is_finished && self.open_stream.is_some() {
            self.log_end(self.context.host.departure_cause());
        }
    }
}
