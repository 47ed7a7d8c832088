//! State machine of one stream.

mod caller_events;
mod departure_events;
mod final_response;
mod frame_events;
mod plan_events;
mod timers;

use teaselglade_core::id::{AttemptId, ServerKey};
use teaselglade_core::time::Timestamp;
use teaselglade_core::verdict::{ExecutionVerdict, RequestRefusal};

use super::active_attempt::ActiveAttempt;
use super::attempt_plan::AttemptPlan;
use super::{
    AttemptCause, CallerSession, StreamAction, StreamCounters, StreamEvent, StreamLimits,
    StreamRecord, StreamRequest,
};

/// Attempt numbers reserved for one generation, so that a later entry host uses higher numbers.
const ATTEMPTS_PER_GENERATION: u32 = 1 << 16;

/// Names the phases of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
enum StreamPhase {
    /// The request is not admitted yet.
    New,
    /// The response is in progress.
    Active,
    /// The record is being offered to peers; events that would change it are deferred.
    HandingOver { total: Option<u32> },
    /// The response is complete and kept for a caller that reconnects.
    Complete { total: u32, until: Timestamp },
    /// The request was refused; the refusal is kept for a caller that reconnects.
    Refused {
        refusal: RequestRefusal,
        until: Timestamp,
    },
    /// The stream ended and the machine can be discarded.
    Finished,
}

/// States whether the caller is connected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallerState {
    Connected {
        session: CallerSession,
    },
    /// The stream is kept until the given time.
    Disconnected {
        until: Timestamp,
    },
}

/// Drives one stream through its attempts, handovers and final response.
///
/// Only frames of the current attempt are accepted, and only in order. A response is complete only
/// with an end frame whose total matches. After the final response no event starts an attempt.
///
/// # Examples
///
/// ```
/// use teaselglade_core::id::{RequestId, ServerKey};
/// use teaselglade_core::time::Timestamp;
/// use teaselglade_request::stream::{
///     StreamAction, StreamEvent, StreamLimits, StreamMachine, StreamRequest,
/// };
///
/// let request = StreamRequest {
///     id: RequestId::from_bits(7),
///     organisation: "corrib".to_owned(),
///     service: "draft-fleet".to_owned(),
///     prompt: "Summarize the report.".to_owned(),
///     max_tokens: 64,
///     adapter: None,
///     priority: 0,
///     deadline: Timestamp::from_millis(60_000),
/// };
/// let mut machine = StreamMachine::new(request, StreamLimits::default());
/// let now = Timestamp::ZERO;
/// let actions = machine.on_event(now, StreamEvent::Admitted { prefer: None });
/// let StreamAction::Place { operation_id, .. } = &actions[0] else { panic!("{actions:?}") };
/// let placed = StreamEvent::Placed { operation_id: *operation_id, server: ServerKey::new(3) };
/// let actions = machine.on_event(now, placed);
/// assert!(matches!(actions[0], StreamAction::Dispatch { .. }));
/// ```
#[derive(Debug, Clone)]
pub struct StreamMachine {
    request: StreamRequest,
    limits: StreamLimits,
    phase: StreamPhase,
    caller: CallerState,
    delivered: Vec<String>,
    generation: u16,
    /// Generation of the record from which this copy was resumed.
    copy_id: u16,
    /// Number of tokens in common with the copy from which this one was resumed.
    shared_tokens: usize,
    last_attempt: u32,
    retries: u32,
    /// Whether the request used its one reconnection outside the retry budget.
    has_reconnected: bool,
    last_operation_id: u32,
    attempt: Option<ActiveAttempt>,
    /// Silent attempt that goes on until the current one, which replaces it, has sent a frame.
    fallback: Option<ActiveAttempt>,
    plan: Option<AttemptPlan>,
    /// Servers that failed this request.
    failed_servers: Vec<ServerKey>,
    leaving_servers: Vec<(ServerKey, Timestamp)>,
    preferred_server: Option<ServerKey>,
    /// Verdict over the attempts that ended.
    past_verdict: ExecutionVerdict,
    handover_at: Option<Timestamp>,
    host_deadline: Option<Timestamp>,
    /// Time of the timer that was requested last and has not fired.
    timer_at: Option<Timestamp>,
    /// Until when timeouts are suspended after a pause of the host.
    catch_up_until: Timestamp,
    /// Events to apply if the handover fails.
    deferred_events: Vec<StreamEvent>,
    counters: StreamCounters,
    actions: Vec<StreamAction>,
}

impl StreamMachine {
    /// Creates the machine of a new request whose caller is connected.
    #[must_use]
    pub fn new(request: StreamRequest, limits: StreamLimits) -> Self {
        let record = StreamRecord {
            request,
            delivered: Vec::new(),
            total: None,
            generation: 0,
            retries: 0,
            server: None,
        };
        let session = CallerSession::default();
        let mut machine = Self::resume(record, limits, Timestamp::ZERO);
        machine.caller = CallerState::Connected { session };
        machine.past_verdict = ExecutionVerdict::NotRun;
        machine
    }

    /// Creates the machine of a request whose record came from a peer.
    ///
    /// The stream is discarded unless the caller reconnects within the grace period.
    #[must_use]
    pub fn resume(record: StreamRecord, limits: StreamLimits, now: Timestamp) -> Self {
        let until = now + limits.caller_grace;
        let phase = match record.total {
            Some(total) => StreamPhase::Complete { total, until },
            None => StreamPhase::New,
        };
        Self {
            request: record.request,
            limits,
            phase,
            caller: CallerState::Disconnected { until },
            shared_tokens: record.delivered.len(),
            delivered: record.delivered,
            generation: record.generation,
            copy_id: record.generation,
            last_attempt: attempt_number_base(record.generation),
            retries: record.retries,
            has_reconnected: false,
            last_operation_id: 0,
            attempt: None,
            fallback: None,
            plan: None,
            failed_servers: Vec::new(),
            leaving_servers: Vec::new(),
            preferred_server: None,
            past_verdict: ExecutionVerdict::MayHaveRun,
            handover_at: None,
            host_deadline: None,
            timer_at: None,
            catch_up_until: Timestamp::ZERO,
            deferred_events: Vec::new(),
            counters: StreamCounters::default(),
            actions: Vec::new(),
        }
    }

    /// Applies an event and returns the resulting actions in order.
    pub fn on_event(&mut self, now: Timestamp, event: StreamEvent) -> Vec<StreamAction> {
        self.detect_pause(now);
        if self.timer_at.is_some_and(|timer_at| timer_at <= now) {
            self.timer_at = None;
        }
        let is_frame = matches!(event, StreamEvent::Frame(_));
        if !is_frame {
            self.check_timers(now);
        }
        self.apply(now, event);
        if is_frame {
            self.check_timers(now);
        }
        self.arm_timer();
        std::mem::take(&mut self.actions)
    }

    /// Returns the counters of the stream.
    #[must_use]
    pub const fn counters(&self) -> &StreamCounters {
        &self.counters
    }

    /// Returns the parameters of the request.
    #[must_use]
    pub const fn request(&self) -> &StreamRequest {
        &self.request
    }

    /// Returns the number of accepted tokens.
    #[must_use]
    pub const fn accepted_tokens(&self) -> usize {
        self.delivered.len()
    }

    /// Returns whether the machine can be discarded.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        self.phase == StreamPhase::Finished
    }

    /// Returns whether the final response is still outstanding.
    #[must_use]
    pub const fn is_open(&self) -> bool {
        matches!(
            self.phase,
            StreamPhase::New | StreamPhase::Active | StreamPhase::HandingOver { .. }
        )
    }

    /// Returns the name of the stream's phase in metrics.
    #[must_use]
    pub const fn outcome_name(&self) -> &'static str {
        match self.phase {
            StreamPhase::New | StreamPhase::Active => "open",
            StreamPhase::HandingOver { .. } => "handing_over",
            StreamPhase::Complete { .. } => "whole",
            StreamPhase::Refused { .. } => "refused",
            StreamPhase::Finished => "left",
        }
    }

    /// Returns the generation of the stream's record.
    #[must_use]
    pub const fn generation(&self) -> u16 {
        self.generation
    }

    /// Returns the id of this copy, which differs between two copies of one stream.
    #[must_use]
    pub const fn copy_id(&self) -> u16 {
        self.copy_id
    }

    /// Returns the server of the current attempt.
    #[must_use]
    pub fn server(&self) -> Option<ServerKey> {
        self.attempt.as_ref().map(|attempt| attempt.server)
    }

    fn apply(&mut self, now: Timestamp, event: StreamEvent) {
        if matches!(self.phase, StreamPhase::HandingOver { .. }) && is_deferred_by_handover(&event)
        {
            self.deferred_events.push(event);
            return;
        }
        match event {
            StreamEvent::Admitted { prefer } => self.on_admitted(now, prefer),
            StreamEvent::Placed {
                operation_id,
                server,
            } => self.on_placed(now, operation_id, server),
            StreamEvent::NotPlaced {
                operation_id,
                refusal,
            } => self.on_not_placed(now, operation_id, &refusal),
            StreamEvent::RetryDecided {
                operation_id,
                decision,
            } => {
                self.on_retry_decided(now, operation_id, decision);
            }
            StreamEvent::Frame(frame) => self.on_frame(now, frame),
            StreamEvent::AttemptFailed { attempt, error } => {
                self.on_attempt_failed(now, attempt, &error);
            }
            StreamEvent::AttemptClosed { attempt } => self.on_attempt_closed(now, attempt),
            StreamEvent::ServerLeaving { server, deadline } => {
                self.on_server_leaving(now, server, deadline);
            }
            StreamEvent::KvMoved {
                operation_id,
                handle,
            } => self.on_kv_moved(now, operation_id, handle),
            StreamEvent::KvFailed { operation_id } => self.on_kv_failed(now, operation_id),
            StreamEvent::TimerFired => {}
            StreamEvent::CallerDisconnected { session } => {
                self.on_caller_disconnected(now, session);
            }
            StreamEvent::CallerResumed {
                session,
                from,
                copy_id,
            } => {
                self.on_caller_resumed(session, from, copy_id);
            }
            StreamEvent::HostStopping { deadline } => self.on_host_stopping(now, deadline),
            StreamEvent::HandoverDone => self.on_handover_done(),
            StreamEvent::HandoverFailed { generation } => self.on_handover_failed(now, generation),
        }
    }

    fn next_attempt(&mut self) -> AttemptId {
        self.last_attempt += 1;
        AttemptId {
            request: self.request.id,
            number: self.last_attempt,
        }
    }

    fn next_operation_id(&mut self) -> u32 {
        self.last_operation_id += 1;
        self.last_operation_id
    }

    fn is_leaving(&self, server: ServerKey) -> bool {
        self.leaving_servers
            .iter()
            .any(|(leaving, _)| *leaving == server)
    }
}

/// Returns whether an event would change the record that is being handed over.
const fn is_deferred_by_handover(event: &StreamEvent) -> bool {
    !matches!(
        event,
        StreamEvent::TimerFired
            | StreamEvent::CallerDisconnected { .. }
            | StreamEvent::CallerResumed { .. }
            | StreamEvent::HostStopping { .. }
            | StreamEvent::HandoverDone
            | StreamEvent::HandoverFailed { .. }
    )
}

/// Returns the number that precedes the first attempt of a generation.
const fn attempt_number_base(generation: u16) -> u32 {
    generation as u32 * ATTEMPTS_PER_GENERATION
}

/// Returns whether an attempt with this cause counts as a retry.
const fn is_retry(cause: AttemptCause) -> bool {
    cause.needs_budget()
}
