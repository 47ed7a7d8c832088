//! Relays a stream of events.

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
use teaselglade_routing::event::EventSplitter;
use teaselglade_routing::table::RetryPolicy;
use tokio::time::{Instant, sleep, sleep_until};

use super::call_context::CallContext;
use super::plain_relay::give_up;
use super::response_body::{AbortedResponse, ResponseBody, whole_body};
use super::server_call::{FailedCall, ServerAnswer, call_server};
use super::stream_reservation::StreamReservation;
use super::{CallerResponse, Result};
use crate::upstream::LeasedConnection;

/// Largest body of an answer on a stream's route that is no stream.
const MAX_FAILURE_BYTES: usize = 1024 * 1024;
/// Times the longest pause on target after which a stream that may be resumed is moved.
const STALL_GAPS: f64 = 2.5;
/// Times the target after which a stream without a first event is moved.
const STALL_TARGETS: f64 = 1.6;
/// Longest pause of routes that name none.
const DEFAULT_GAP: Duration = Duration::from_millis(800);

/// An answer that a server has begun.
#[derive(Debug)]
struct OpenStream {
    seat: StreamReservation,
    connection: LeasedConnection,
    headers: HeaderMap,
    body: Incoming,
}

/// What comes next of a stream.
#[derive(Debug)]
enum StreamStep {
    /// Whole events.
    Events(Bytes),
    /// The answer is whole.
    End,
    /// The attempt failed.
    Failed(FailedCall),
}

/// A stream on its way to the caller.
#[derive(Debug)]
struct StreamRelay {
    context: Arc<CallContext>,
    ledger: AttemptTracker,
    open: Option<OpenStream>,
    splitter: EventSplitter,
    ready: VecDeque<Bytes>,
    /// Last event that was passed on.
    last_event: Option<u64>,
    status: StatusCode,
    first: Option<Duration>,
    /// Name of the server of the latest attempt.
    server: String,
    is_over: bool,
}

/// Relays a stream; its answer begins with the first event.
pub(super) async fn relay_stream(context: &Arc<CallContext>) -> Result<CallerResponse> {
    let ledger = AttemptTracker::new(context.route.retry_policy, context.route.max_attempts);
    let mut relay = StreamRelay {
        context: Arc::clone(context),
        ledger,
        open: None,
        splitter: EventSplitter::default(),
        ready: VecDeque::new(),
        last_event: context.resume_after,
        status: StatusCode::OK,
        first: None,
        server: String::new(),
        is_over: false,
    };
    let mut is_continued = false;
    loop {
        let failed = match relay.begin(is_continued).await? {
            Begun::Answer(answer) => return Ok(answer),
            Begun::Stream(headers) => return Ok(relay.into_answer(&headers)),
            Begun::Failed(failed) => failed,
        };
        relay.prepare_next(failed).await?;
        is_continued = true;
    }
}

/// What came of the begin of an attempt.
enum Begun {
    /// The server answered without a stream.
    Answer(CallerResponse),
    /// The first event is there; the head's headers.
    Stream(HeaderMap),
    /// The attempt failed.
    Failed((StreamReservation, FailedCall)),
}

impl StreamRelay {
    /// Starts an attempt and waits for its first event.
    async fn begin(&mut self, is_continued: bool) -> Result<Begun> {
        let context = Arc::clone(&self.context);
        let tried = self.ledger.tried();
        let attempt = self.ledger.attempts() + 1;
        let seat = StreamReservation::take(&context, &tried, attempt, is_continued)?;
        self.ledger.begin_attempt(seat.seat.server);
        // A part of an event that the attempt before left must not lead the next one's bytes.
        self.splitter = EventSplitter::default();
        self.server.clone_from(&seat.server);
        let stall = self.first_stall(&seat);
        let called = tokio::select! {
            called = call_server(&context, seat.seat.server, self.last_event) => called,
            () = stalled(stall) => Err(stall_failure()),
        };
        let answer = match called {
            Ok(answer) => answer,
            Err(failed) => return Ok(Begun::Failed((seat, failed))),
        };
        if !answer.status.is_success() {
            return Ok(Begun::Answer(self.pass_failure(&seat, answer).await?));
        }
        self.status = answer.status;
        let headers = answer.headers.clone();
        self.open = Some(OpenStream {
            seat,
            connection: answer.connection,
            headers: answer.headers,
            body: answer.body,
        });
        match self.step(stall).await {
            StreamStep::Events(events) => self.ready.push_back(events),
            StreamStep::End => {}
            StreamStep::Failed(failed) => {
                return Ok(match self.open.take() {
                    Some(open) => Begun::Failed((open.seat, failed)),
                    None => return Err(give_up(self.ledger.verdict(), &failed)),
                });
            }
        }
        Ok(Begun::Stream(headers))
    }

    /// Decides whether a failed stream is tried elsewhere; returns its final answer otherwise.
    async fn prepare_next(&mut self, failed: (StreamReservation, FailedCall)) -> Result<()> {
        let (seat, failed) = failed;
        let next = self.note_failure(&seat, &failed);
        drop(seat);
        if self.may_go_on(next).await {
            return Ok(());
        }
        if failed.outcome == AttemptOutcome::TimedOut {
            return Err(RequestRefusal::with_verdict(
                ExecutionVerdict::MayHaveRun,
                RefusalReason::DeadlineExceeded,
                failed.detail,
            ));
        }
        Err(give_up(self.ledger.verdict(), &failed))
    }

    async fn may_go_on(&mut self, next: NextStep) -> bool {
        match next {
            NextStep::Reconnect => true,
            NextStep::RetryWithinBudget => {
                let Some(delay) = self.context.ask_retry(self.ledger.attempts()) else {
                    return false;
                };
                sleep(delay).await;
                true
            }
            NextStep::GiveUp(_verdict) => false,
        }
    }

    fn note_failure(&mut self, seat: &StreamReservation, failed: &FailedCall) -> NextStep {
        let context = &self.context;
        let host = &context.host;
        let now = host.now();
        let server = seat.seat.server;
        let mut decisions = host.decide();
        match failed.outcome {
            AttemptOutcome::Misdirected => decisions.fleet.mark_replaced(now, server),
            AttemptOutcome::Rejected => {}
            _ => decisions.engines.record_failure(now, server),
        }
        drop(decisions);
        let next = self.ledger.end_attempt(server, failed.outcome);
        context.note_attempt_ended(&seat.server, failed, next);
        next
    }

    async fn pass_failure(
        &mut self,
        seat: &StreamReservation,
        answer: ServerAnswer,
    ) -> Result<CallerResponse> {
        let context = &self.context;
        let collected = Limited::new(answer.body, MAX_FAILURE_BYTES).collect().await;
        let body = match collected {
            Ok(body) => body.to_bytes(),
            Err(error) => {
                let detail = format!("the answer is cut: {error}");
                let failed = FailedCall::new(AttemptOutcome::Broken, detail);
                return Err(give_up(ExecutionVerdict::MayHaveRun, &failed));
            }
        };
        answer.connection.return_to_pool(&answer.headers);
        let status = answer.status;
        context.note_answered(
            &seat.server,
            status.as_u16(),
            "server_failed",
            context.elapsed(),
        );
        Ok(context.pass_on(status, &answer.headers, whole_body(body)))
    }

    fn into_answer(self, headers: &HeaderMap) -> CallerResponse {
        let (context, status) = (Arc::clone(&self.context), self.status);
        let events = unfold(self, |mut relay| async move {
            let frame = relay.next().await?;
            Some((frame.map(Frame::data), relay))
        });
        let body: ResponseBody = StreamBody::new(events).boxed_unsync();
        context.pass_on(status, headers, body)
    }

    /// Returns the next events for the caller; none behind the last.
    async fn next(&mut self) -> Option<std::result::Result<Bytes, AbortedResponse>> {
        loop {
            if let Some(events) = self.ready.pop_front() {
                return Some(Ok(events));
            }
            if self.is_over {
                return None;
            }
            let gap = self.context.route.gap_target.unwrap_or(DEFAULT_GAP);
            let stall = self
                .may_resume()
                .then(|| Instant::now() + gap.mul_f64(STALL_GAPS));
            match self.step(stall).await {
                StreamStep::Events(events) => self.ready.push_back(events),
                StreamStep::End => {}
                StreamStep::Failed(failed) => {
                    if !self.resume(failed).await {
                        self.is_over = true;
                        self.log_over("cut");
                        return Some(Err(AbortedResponse));
                    }
                }
            }
        }
    }

    /// Goes on behind the last event at another server, as long as that is allowed.
    async fn resume(&mut self, failed: FailedCall) -> bool {
        let Some(open) = self.open.take() else {
            return false;
        };
        // The connection is closed first, so that the server before stops.
        drop((open.body, open.connection));
        let (mut seat, mut failed) = (open.seat, failed);
        loop {
            let next = self.note_failure(&seat, &failed);
            drop(seat);
            if !self.may_go_on(next).await {
                return false;
            }
            (seat, failed) = match self.begin(true).await {
                Ok(Begun::Stream(_headers)) => return true,
                Ok(Begun::Failed(again)) => again,
                Ok(Begun::Answer(_failure)) => return false,
                Err(refusal) => {
                    self.log_no_seat(&refusal);
                    return false;
                }
            };
        }
    }

    /// Logs why no server could be found to go on at.
    fn log_no_seat(&self, refusal: &RequestRefusal) {
        let host = &self.context.host;
        let (now, id) = (host.now(), &self.context.id);
        host.log
            .attempt_ended(now, id, "", "no_seat", &refusal.detail, "give_up");
    }

    /// Waits for whole events, the end, or a failure of the open attempt.
    async fn step(&mut self, stall: Option<Instant>) -> StreamStep {
        loop {
            let left = self.context.left();
            let Some(open) = self.open.as_mut() else {
                return StreamStep::Failed(FailedCall::new(AttemptOutcome::Broken, "no attempt"));
            };
            let frame = tokio::select! {
                frame = open.body.frame() => frame,
                () = sleep(left) => {
                    let detail = "not whole before the deadline";
                    return StreamStep::Failed(FailedCall::new(AttemptOutcome::TimedOut, detail));
                }
                () = stalled(stall) => return StreamStep::Failed(stall_failure()),
            };
            match frame {
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    let events = self.take_events(&data);
                    if !events.is_empty() {
                        return StreamStep::Events(events);
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
                    self.finish();
                    return StreamStep::End;
                }
            }
        }
    }

    /// Returns the whole events that the bytes complete, without those that the caller has.
    fn take_events(&mut self, data: &Bytes) -> Bytes {
        let is_first = self.first.is_none();
        let pieces = self.splitter.push(data);
        if pieces.is_empty() {
            return Bytes::new();
        }
        if let Some(open) = self.open.as_mut() {
            open.seat.begin();
        }
        if is_first {
            self.first = Some(self.context.elapsed());
            self.context.count_run();
        }
        let mut events = Vec::new();
        for piece in pieces {
            let is_known =
                matches!((piece.id, self.last_event), (Some(id), Some(last)) if id <= last);
            if is_known {
                continue;
            }
            self.last_event = piece.id.or(self.last_event);
            events.push(piece.bytes);
        }
        match events.len() {
            1 => events.swap_remove(0),
            _ => events.concat().into(),
        }
    }

    fn finish(&mut self) {
        self.is_over = true;
        if let Some(open) = self.open.take() {
            open.connection.return_to_pool(&open.headers);
            self.log_over("whole");
        }
    }

    /// Returns when a stream without a first event is moved; never where it may not.
    fn first_stall(&self, seat: &StreamReservation) -> Option<Instant> {
        let target = self.context.route.target.mul_f64(STALL_TARGETS);
        let span = target.max(seat.seat.predicted_latency.mul_f64(STALL_TARGETS));
        self.may_resume().then(|| Instant::now() + span)
    }

    fn may_resume(&self) -> bool {
        self.context.route.retry_policy == RetryPolicy::Resume && self.ledger.may_send()
    }

    fn log_over(&self, outcome: &str) {
        let first = self.first.unwrap_or_else(|| self.context.elapsed());
        let status = self.status.as_u16();
        self.context
            .note_answered(&self.server, status, outcome, first);
    }
}

impl Drop for StreamRelay {
    fn drop(&mut self) {
        if !self.is_over && self.open.is_some() {
            self.log_over("caller_left");
        }
    }
}

async fn stalled(at: Option<Instant>) {
    match at {
        Some(at) => sleep_until(at).await,
        None => std::future::pending().await,
    }
}

fn stall_failure() -> FailedCall {
    FailedCall::new(AttemptOutcome::TimedOut, "no event for too long")
}
