//! Relays event streams and resumes them at another server after a failure.

use std::collections::VecDeque;
use std::future::pending;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::stream::unfold;
use http_body_util::{BodyExt, Limited, StreamBody};
use hyper::body::Frame;
use hyper::{HeaderMap, StatusCode};
use teaselglade_core::id::ServerKey;
use teaselglade_core::verdict::{ExecutionVerdict, RefusalReason, RequestRefusal};
use teaselglade_routing::attempt::{
    AttemptOutcome, AttemptRole, AttemptTracker, MoveAction, MoveDecider, MoveEvent, NextStep,
};
use teaselglade_routing::event::SseEvent;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use super::call_context::{CallContext, next_step_name};
use super::engine_attempt::{AttemptStep, EngineAttempt};
use super::plain_relay::final_refusal;
use super::refusal_response::promises_not_run;
use super::response_body::{AbortedResponse, ResponseBody, full_body};
use super::server_call::{FailedCall, ServerResponse, reuse_after_body, unstated_refusal};
use super::server_check::check_server;
use super::stream_reservation::{StreamAttempt, StreamReservation};
use super::{CallerResponse, Result};

/// Largest body of an error response on a stream route.
const MAX_ERROR_BODY_BYTES: usize = 1024 * 1024;
/// Least time to read the body of an error response, also if the request's deadline has passed.
const MIN_ERROR_BODY_TIME: Duration = Duration::from_millis(250);
/// Multiple of the gap target without an event after which a resumable stream gets a standby at
/// another server.
const STALL_GAP_FACTOR: f64 = 2.5;
/// Multiple of the target, or of the predicted latency if that is longer, after which a resumable
/// stream without a first event gets a standby at another server.
const STALL_TARGET_FACTOR: f64 = 1.6;
/// Gap target of routes that set none.
const DEFAULT_GAP_TARGET: Duration = Duration::from_millis(800);
/// Interval between checks whether a silent attempt can get a standby.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// Result of reading from the open attempts.
enum StreamStep {
    /// One or more whole events.
    Events(Bytes),
    /// The stream is complete.
    End,
    /// The only attempt's server responded with an error instead of a stream.
    ErrorResponse(Box<ServerResponse>),
    /// The last open attempt failed.
    Failed(Box<LostAttempt>),
}

/// What happened while the open attempts were read.
enum ReadEvent {
    Step(AttemptRole, AttemptStep),
    SilenceLasted,
    DeadlinePassed,
}

/// Attempt that failed with no other one open.
struct LostAttempt {
    /// Reservation of the attempt, if one was open.
    reservation: Option<StreamReservation>,
    failed: FailedCall,
    next: NextStep,
}

/// Error response that is forwarded if no attempt brings an event.
struct StoredResponse {
    server_id: String,
    response: Box<ServerResponse>,
}

/// State of one stream while it is relayed to the caller.
struct StreamRelay {
    context: Arc<CallContext>,
    tracker: AttemptTracker,
    decider: MoveDecider,
    /// Attempt whose events the caller gets.
    primary: Option<EngineAttempt>,
    /// Second attempt beside a silent primary.
    standby: Option<EngineAttempt>,
    error_response: Option<StoredResponse>,
    pending_events: VecDeque<Bytes>,
    /// Id of the last event that was forwarded to the caller or that the caller already had.
    last_event_id: Option<u64>,
    /// Response head for the caller, of the first attempt that brought an event.
    head: Option<(StatusCode, HeaderMap)>,
    /// Time from the request's arrival to the first event.
    time_to_first_event: Option<Duration>,
    /// Id of the primary's server, or of the last one.
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
        decider: MoveDecider::default(),
        primary: None,
        standby: None,
        error_response: None,
        pending_events: VecDeque::new(),
        last_event_id: context.resume_after,
        head: None,
        time_to_first_event: None,
        server_id: String::new(),
        is_finished: false,
    };
    match relay.wait_for_first_event().await {
        Ok(None) => Ok(relay.into_response()),
        Ok(Some(response)) => {
            let server_id = relay.server_id.clone();
            forward_error(context, &server_id, response).await
        }
        Err(refusal) => match relay.error_response.take() {
            Some(stored) => forward_error(context, &stored.server_id, stored.response).await,
            None => Err(refusal),
        },
    }
}

impl StreamRelay {
    /// Makes attempts until one brings an event or ends the stream.
    ///
    /// Returns an error response if a server sent one instead of a stream.
    async fn wait_for_first_event(&mut self) -> Result<Option<Box<ServerResponse>>> {
        self.start_primary(false).await?;
        loop {
            match self.read_step().await {
                StreamStep::Events(events) => {
                    self.pending_events.push_back(events);
                    return Ok(None);
                }
                StreamStep::End => return Ok(None),
                StreamStep::ErrorResponse(response) => return Ok(Some(response)),
                StreamStep::Failed(lost) => {
                    self.prepare_next(*lost).await?;
                    self.start_primary(true).await?;
                }
            }
        }
    }

    /// Places the stream at an engine and starts an attempt there.
    ///
    /// # Errors
    ///
    /// Returns a refusal if no engine accepts the stream.
    async fn start_primary(&mut self, is_continued: bool) -> Result<()> {
        let tried = self.tracker.tried();
        let attempt = self.next_attempt(&tried, is_continued);
        let reservation = StreamReservation::place(&self.context, &attempt)
            .await
            .map_err(|refusal| refusal.after_attempts(self.tracker.verdict()))?;
        self.server_id.clone_from(&reservation.server_id);
        self.primary = Some(self.begin_attempt(reservation));
        Ok(())
    }

    /// Starts a standby, if a server takes it and a retry is left; returns whether it did.
    async fn start_standby(&mut self, takes_retry: bool) -> bool {
        let tried = self.tracker.tried();
        let attempt = self.next_attempt(&tried, true);
        let retry = takes_retry.then(|| self.tracker.attempts());
        let placed = StreamReservation::place_standby(&self.context, &attempt, retry).await;
        self.standby = placed.map(|reservation| self.begin_attempt(reservation));
        self.standby.is_some()
    }

    fn next_attempt<'a>(&self, tried: &'a [ServerKey], is_continued: bool) -> StreamAttempt<'a> {
        StreamAttempt {
            tried,
            number: self.tracker.attempts() + 1,
            is_continued,
            has_events: self.time_to_first_event.is_some(),
        }
    }

    fn begin_attempt(&mut self, reservation: StreamReservation) -> EngineAttempt {
        self.tracker.begin_attempt(reservation.engine.server);
        EngineAttempt::new(&self.context, reservation, self.last_event_id)
    }

    /// Reads until events, the end of the stream or the failure of the last open attempt.
    async fn read_step(&mut self) -> StreamStep {
        let deadline = sleep(self.context.time_left());
        tokio::pin!(deadline);
        let mut check_at = self.stall_deadline();
        loop {
            let event = tokio::select! {
                biased;
                step = next_step(&mut self.primary) => ReadEvent::Step(AttemptRole::Primary, step),
                step = next_step(&mut self.standby) => ReadEvent::Step(AttemptRole::Standby, step),
                () = &mut deadline => ReadEvent::DeadlinePassed,
                () = wait_until(check_at) => ReadEvent::SilenceLasted,
            };
            let (role, failed) = match event {
                ReadEvent::SilenceLasted => {
                    let action = self.decider.on_event(MoveEvent::SilenceLasted);
                    check_at = self.execute(action).await;
                    continue;
                }
                ReadEvent::DeadlinePassed => (AttemptRole::Primary, self.end_at_deadline()),
                ReadEvent::Step(role, AttemptStep::Events(events)) => {
                    let events = self.take_new_events(events);
                    if events.is_empty() {
                        continue;
                    }
                    self.settle_on(role);
                    return StreamStep::Events(events);
                }
                ReadEvent::Step(role, AttemptStep::End(rest)) => {
                    self.settle_on(role);
                    self.finish(rest);
                    return StreamStep::End;
                }
                ReadEvent::Step(role, AttemptStep::ErrorResponse(response)) => {
                    if self.head.is_none() && self.standby.is_none() {
                        return StreamStep::ErrorResponse(response);
                    }
                    (role, self.store_error(role, response))
                }
                ReadEvent::Step(role, AttemptStep::Failed(failed)) => (role, failed),
            };
            match role {
                AttemptRole::Primary => match self.replace_by_standby(failed) {
                    Some(lost) => return StreamStep::Failed(Box::new(lost)),
                    None => check_at = self.stall_deadline(),
                },
                AttemptRole::Standby => check_at = self.end_failed_standby(&failed).await,
            }
        }
    }

    /// Returns the events that the caller does not have, and records that events arrived.
    fn take_new_events(&mut self, sse_events: Vec<SseEvent>) -> Bytes {
        if self.time_to_first_event.is_none() {
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

    /// Goes on with the attempt that brought the next event, and drops the other one.
    fn settle_on(&mut self, role: AttemptRole) {
        match self.decider.on_event(MoveEvent::Progressed(role)) {
            MoveAction::DropStandby => {
                let detail = "the silent attempt went on";
                let failed = FailedCall::new(AttemptOutcome::Superseded, detail);
                let standby = self.standby.take();
                self.drop_attempt(standby, &failed, "read_on");
                self.record_primary();
            }
            MoveAction::DropPrimary => {
                let failed = FailedCall::new(AttemptOutcome::TimedOut, "no event for too long");
                let silent = self.primary.take();
                self.drop_attempt(silent, &failed, "moved");
                self.promote_standby();
            }
            _ => {}
        }
        if self.head.is_none() {
            let head = self.primary.as_ref().and_then(EngineAttempt::head);
            self.head = head.map(|(status, headers)| (status, headers.clone()));
            self.error_response = None;
        }
    }

    fn promote_standby(&mut self) {
        self.primary = self.standby.take();
        if let Some(primary) = &self.primary {
            self.server_id.clone_from(&primary.reservation.server_id);
        }
        self.record_primary();
    }

    /// Records among the open requests that the primary's server is waited for.
    fn record_primary(&self) {
        if let Some(primary) = &self.primary {
            let server = primary.reservation.engine.server;
            let (host, key) = (&self.context.host, self.context.open_key);
            host.update_request(key, |request| request.start_attempt(server));
        }
    }

    /// Closes an attempt that this host ends, and records how it ended.
    fn drop_attempt(&mut self, attempt: Option<EngineAttempt>, failed: &FailedCall, next: &str) {
        let Some(attempt) = attempt else {
            return;
        };
        let reservation = attempt.close();
        self.record_failure(&reservation, failed);
        self.context
            .record_attempt_end(&reservation.server_id, failed, next);
    }

    /// Executes an action on a silent attempt; returns when its silence is checked again.
    async fn execute(&mut self, action: MoveAction) -> Option<Instant> {
        let action = match action {
            MoveAction::StartStandby { takes_retry } => {
                let event = if self.start_standby(takes_retry).await {
                    MoveEvent::StandbyStarted
                } else {
                    MoveEvent::StandbyDenied
                };
                self.decider.on_event(event)
            }
            action => action,
        };
        let is_checked = action == MoveAction::CheckAgain && self.tracker.may_move();
        is_checked.then(|| Instant::now() + CHECK_INTERVAL)
    }

    /// Ends the attempts at the request's deadline; returns the failure of the primary.
    fn end_at_deadline(&mut self) -> FailedCall {
        let has_head = self.primary.as_ref().and_then(EngineAttempt::head);
        let detail = match has_head {
            Some(_head) => "not whole before the deadline",
            None => "no answer before the deadline",
        };
        let failed = FailedCall::new(AttemptOutcome::TimedOut, detail);
        if self.decider.on_event(MoveEvent::DeadlinePassed) == MoveAction::DropStandby {
            let standby = self.standby.take();
            self.drop_attempt(standby, &failed, "give_up");
        }
        failed
    }

    /// Keeps a server's error response, if it may be forwarded; returns it as a failure.
    fn store_error(&mut self, role: AttemptRole, response: Box<ServerResponse>) -> FailedCall {
        let detail = format!("answered {}", response.status.as_u16());
        let attempt = match role {
            AttemptRole::Primary => &self.primary,
            AttemptRole::Standby => &self.standby,
        };
        match attempt {
            Some(attempt) if self.head.is_none() => {
                self.error_response = Some(StoredResponse {
                    server_id: attempt.reservation.server_id.clone(),
                    response,
                });
            }
            _ => reuse_after_body(response.body, response.connection, response.headers),
        }
        FailedCall::new(AttemptOutcome::Failed, detail)
    }

    /// Ends the failed primary; its standby goes on, if there is one.
    ///
    /// Returns the failed attempt if no other one is open.
    fn replace_by_standby(&mut self, failed: FailedCall) -> Option<LostAttempt> {
        let reservation = self.primary.take().map(EngineAttempt::close);
        let Some(reservation) = reservation else {
            let next = NextStep::GiveUp(self.tracker.verdict());
            return Some(LostAttempt {
                reservation: None,
                failed,
                next,
            });
        };
        let next = self.record_failure(&reservation, &failed);
        let event = MoveEvent::Failed(AttemptRole::Primary, next);
        let is_replaced = self.decider.on_event(event) == MoveAction::PromoteStandby;
        let next_name = if is_replaced {
            "standby"
        } else {
            next_step_name(next)
        };
        self.context
            .record_attempt_end(&reservation.server_id, &failed, next_name);
        if is_replaced {
            self.promote_standby();
            self.check_beside(reservation, &failed);
            return None;
        }
        Some(LostAttempt {
            reservation: Some(reservation),
            failed,
            next,
        })
    }

    /// Ends the failed standby; returns when the silence of the primary is checked again.
    async fn end_failed_standby(&mut self, failed: &FailedCall) -> Option<Instant> {
        let reservation = self.standby.take().map(EngineAttempt::close)?;
        let next = self.record_failure(&reservation, failed);
        let event = MoveEvent::Failed(AttemptRole::Standby, next);
        let action = self.decider.on_event(event);
        let next_name = match action {
            MoveAction::StartStandby { .. } => "reconnect",
            _ => "read_on",
        };
        self.context
            .record_attempt_end(&reservation.server_id, failed, next_name);
        self.record_primary();
        self.check_beside(reservation, failed);
        self.execute(action).await
    }

    /// Checks the server of a failed attempt while another attempt is read.
    fn check_beside(&self, reservation: StreamReservation, failed: &FailedCall) {
        if !is_lost(&reservation, failed) {
            return;
        }
        let context = Arc::clone(&self.context);
        tokio::spawn(async move {
            check_server(&context, reservation.engine.server).await;
            drop(reservation);
        });
    }

    /// Checks the server of a failed attempt and waits until the next one may start.
    ///
    /// # Errors
    ///
    /// Returns the final refusal if no further attempt is allowed.
    async fn prepare_next(&mut self, lost: LostAttempt) -> Result<()> {
        let context = Arc::clone(&self.context);
        if let Some(reservation) = lost.reservation
            && is_lost(&reservation, &lost.failed)
        {
            check_server(&context, reservation.engine.server).await;
        }
        if self.wait_for_retry(lost.next).await {
            return Ok(());
        }
        let failed = lost.failed;
        if failed.outcome == AttemptOutcome::TimedOut {
            return Err(RequestRefusal::with_verdict(
                ExecutionVerdict::MayHaveRun,
                RefusalReason::DeadlineExceeded,
                failed.detail,
            ));
        }
        Err(final_refusal(&context, self.tracker.verdict(), &failed))
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
        let host = &self.context.host;
        let now = host.now();
        let server = reservation.engine.server;
        let mut decisions = host.lock_decisions();
        match failed.outcome {
            AttemptOutcome::Misdirected => decisions.registry.mark_replaced(now, server),
            AttemptOutcome::Rejected
            | AttemptOutcome::Withheld
            | AttemptOutcome::Failed
            | AttemptOutcome::Superseded => {}
            AttemptOutcome::Unreachable | AttemptOutcome::Broken | AttemptOutcome::TimedOut => {
                decisions.engine_placer.record_failure(now, server);
            }
        }
        drop(decisions);
        self.tracker.end_attempt(server, failed.outcome)
    }

    /// Builds the caller's response, whose body reads the stream's events.
    fn into_response(self) -> CallerResponse {
        let context = Arc::clone(&self.context);
        let (status, headers) = self.head.clone().unwrap_or_default();
        let events = unfold(self, |mut relay| async move {
            let frame = relay.next_events().await?;
            Some((frame.map(Frame::data), relay))
        });
        let body: ResponseBody = StreamBody::new(events).boxed_unsync();
        context.forward_response(status, &headers, body)
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
            let is_resumed = match self.read_step().await {
                StreamStep::Events(events) => {
                    self.pending_events.push_back(events);
                    true
                }
                StreamStep::End => true,
                StreamStep::ErrorResponse(_response) => false,
                StreamStep::Failed(lost) => self.resume(*lost).await,
            };
            if !is_resumed {
                self.is_finished = true;
                self.log_end("cut");
                return Some(Err(AbortedResponse));
            }
        }
    }

    /// Starts an attempt that resumes the stream after its last event at another server.
    ///
    /// Returns whether one was started.
    async fn resume(&mut self, lost: LostAttempt) -> bool {
        if self.prepare_next(lost).await.is_err() {
            return false;
        }
        match self.start_primary(true).await {
            Ok(()) => true,
            Err(refusal) => {
                self.log_placement_failure(&refusal);
                false
            }
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

    /// Ends the stream, forwards the bytes after its last event and keeps its connection.
    fn finish(&mut self, rest: Bytes) {
        if !rest.is_empty() {
            self.pending_events.push_back(rest);
        }
        self.is_finished = true;
        if let Some(primary) = self.primary.take() {
            primary.finish();
            self.log_end("whole");
        }
    }

    /// Returns when the primary is silent for so long that it gets a standby.
    ///
    /// Returns `None` if the stream may not be moved.
    fn stall_deadline(&self) -> Option<Instant> {
        let primary = self.primary.as_ref()?;
        let reservation = &primary.reservation;
        if !self.tracker.may_move() || reservation.is_contained() {
            return None;
        }
        let route = &self.context.route;
        if reservation.has_first_event() {
            let gap_target = route.gap_target.unwrap_or(DEFAULT_GAP_TARGET);
            return Some(Instant::now() + gap_target.mul_f64(STALL_GAP_FACTOR));
        }
        let latency = route.target.max(reservation.engine.predicted_latency);
        Some(primary.started_at + latency.mul_f64(STALL_TARGET_FACTOR))
    }

    /// Logs and counts the end of the stream.
    fn log_end(&self, outcome: &'static str) {
        let time_to_first_event = self
            .time_to_first_event
            .unwrap_or_else(|| self.context.elapsed());
        let status = self.head.as_ref().map_or(StatusCode::OK, |head| head.0);
        self.context.record_response(
            &self.server_id,
            status.as_u16(),
            outcome,
            time_to_first_event,
        );
    }
}

impl Drop for StreamRelay {
    fn drop(&mut self) {
        let head = self.primary.as_ref().and_then(EngineAttempt::head);
        if !self.is_finished && head.is_some() {
            self.log_end(self.context.host.departure_cause());
        }
    }
}

/// Returns whether an attempt broke before its first event, so that its server is checked.
fn is_lost(reservation: &StreamReservation, failed: &FailedCall) -> bool {
    failed.outcome == AttemptOutcome::Broken && !reservation.has_first_event()
}

/// Reads the next step of an attempt; waits forever without one.
async fn next_step(attempt: &mut Option<EngineAttempt>) -> AttemptStep {
    match attempt {
        Some(attempt) => attempt.next_step().await,
        None => pending().await,
    }
}

async fn wait_until(deadline: Option<Instant>) {
    match deadline {
        Some(deadline) => sleep_until(deadline).await,
        None => pending().await,
    }
}

/// Forwards a server's error response to the caller.
///
/// # Errors
///
/// Returns a refusal if the response is not whole, or its status promises what its server did not
/// state.
async fn forward_error(
    context: &CallContext,
    server_id: &str,
    response: Box<ServerResponse>,
) -> Result<CallerResponse> {
    if promises_not_run(response.status) {
        let failed = unstated_refusal(response.status);
        reuse_after_body(response.body, response.connection, response.headers);
        let verdict = ExecutionVerdict::MayHaveRun;
        context.record_attempt_end(
            server_id,
            &failed,
            next_step_name(NextStep::GiveUp(verdict)),
        );
        return Err(final_refusal(context, verdict, &failed));
    }
    let collected = Limited::new(response.body, MAX_ERROR_BODY_BYTES).collect();
    let time_left = context.time_left().max(MIN_ERROR_BODY_TIME);
    let body = match timeout(time_left, collected).await {
        Ok(Ok(body)) => body.to_bytes(),
        Err(_elapsed) => {
            return Err(RequestRefusal::with_verdict(
                ExecutionVerdict::MayHaveRun,
                RefusalReason::DeadlineExceeded,
                "the server's error response is not whole",
            ));
        }
        Ok(Err(error)) => {
            let detail = format!("the answer is cut: {error}");
            let failed = FailedCall::new(AttemptOutcome::Broken, detail);
            return Err(final_refusal(
                context,
                ExecutionVerdict::MayHaveRun,
                &failed,
            ));
        }
    };
    response.connection.return_to_pool(&response.headers);
    let status = response.status;
    context.record_response(
        server_id,
        status.as_u16(),
        "server_failed",
        context.elapsed(),
    );
    Ok(context.forward_response(status, &response.headers, full_body(body)))
}
