//! Machine that decides the life of one stream.

mod caller_events;
mod due_times;
mod final_answers;
mod frame_events;
mod leave_events;
mod plan_events;

use teaselglade_core::id::{AttemptId, ServerKey};
use teaselglade_core::time::Timestamp;
use teaselglade_core::verdict::{ExecutionVerdict, RequestRefusal};

use super::active_attempt::ActiveAttempt;
use super::attempt_plan::AttemptPlan;
use super::{
    AttemptCause, CallerSession, StreamAction, StreamCounters, StreamEvent, StreamLimits,
    StreamRecord, StreamRequest,
};

/// Attempts of one generation; a later entry host numbers its attempts above them.
const ATTEMPTS_PER_GENERATION: u32 = 1 << 16;

/// Where a stream stands.
#[derive(Debug, Clone, PartialEq, Eq)]
enum StreamPhase {
    /// Not admitted yet.
    New,
    /// In progress.
    Active,
    /// The record is on its way to a peer; events wait.
    HandingOver { total: Option<u32> },
    /// The answer is whole and kept for a caller that comes back.
    Whole { total: u32, until: Timestamp },
    /// The request was given up; the answer is kept for a caller that comes back.
    Refused {
        refusal: RequestRefusal,
        until: Timestamp,
    },
    /// Nothing is left to do.
    Over,
}

/// The caller's side of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallerState {
    Present { session: CallerSession },
    Gone { until: Timestamp },
}

/// Machine that decides the life of one stream.
///
/// It accepts frames of its present attempt only, and in order. An answer is whole only with the
/// end frame and its total. Once a final answer is given, no event starts an attempt.
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
///     prompt: "Assess the ring.".to_owned(),
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
    /// Generation whose copy of the stream this one is.
    copy_id: u16,
    /// Tokens that this copy shares with the one it was made from.
    shared_tokens: usize,
    last_attempt: u32,
    retries: u32,
    /// Whether the request used its reconnection outside the budget.
    has_reconnected: bool,
    last_operation_id: u32,
    attempt: Option<ActiveAttempt>,
    plan: Option<AttemptPlan>,
    /// Servers that failed this request.
    failed: Vec<ServerKey>,
    leaving: Vec<(ServerKey, Timestamp)>,
    prefer: Option<ServerKey>,
    settled: ExecutionVerdict,
    handover_at: Option<Timestamp>,
    host_deadline: Option<Timestamp>,
    armed: Option<Timestamp>,
    /// Until when a host that was paused hears what happened meanwhile.
    settle_until: Timestamp,
    held: Vec<StreamEvent>,
    counters: StreamCounters,
    actions: Vec<StreamAction>,
}

impl StreamMachine {
    /// Makes the machine of a new request whose caller is connected.
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
        machine.caller = CallerState::Present { session };
        machine.settled = ExecutionVerdict::NotRun;
        machine
    }

    /// Makes the machine of a request whose record came from a peer.
    ///
    /// The caller is expected back within the grace time.
    #[must_use]
    pub fn resume(record: StreamRecord, limits: StreamLimits, now: Timestamp) -> Self {
        let until = now + limits.caller_grace;
        let phase = match record.total {
            Some(total) => StreamPhase::Whole { total, until },
            None => StreamPhase::New,
        };
        Self {
            request: record.request,
            limits,
            phase,
            caller: CallerState::Gone { until },
            shared_tokens: record.delivered.len(),
            delivered: record.delivered,
            generation: record.generation,
            copy_id: record.generation,
            last_attempt: first_attempt(record.generation),
            retries: record.retries,
            has_reconnected: false,
            last_operation_id: 0,
            attempt: None,
            plan: None,
            failed: Vec::new(),
            leaving: Vec::new(),
            prefer: None,
            settled: ExecutionVerdict::MayHaveRun,
            handover_at: None,
            host_deadline: None,
            armed: None,
            settle_until: Timestamp::ZERO,
            held: Vec::new(),
            counters: StreamCounters::default(),
            actions: Vec::new(),
        }
    }

    /// Takes an event and returns what has to be done, in order.
    pub fn on_event(&mut self, now: Timestamp, event: StreamEvent) -> Vec<StreamAction> {
        self.note_late_wake(now);
        if self.armed.is_some_and(|armed| armed <= now) {
            self.armed = None;
        }
        let is_frame = matches!(event, StreamEvent::Frame(_));
        if !is_frame {
            self.check_due(now);
        }
        self.apply(now, event);
        if is_frame {
            self.check_due(now);
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

    /// Returns how many tokens were accepted.
    #[must_use]
    pub const fn accepted_tokens(&self) -> usize {
        self.delivered.len()
    }

    /// Returns whether the machine can be dropped.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        self.phase == StreamPhase::Over
    }

    /// Returns whether an answer is still to come.
    #[must_use]
    pub const fn is_open(&self) -> bool {
        matches!(
            self.phase,
            StreamPhase::New | StreamPhase::Active | StreamPhase::HandingOver { .. }
        )
    }

    /// Returns the name of how the stream stands.
    #[must_use]
    pub const fn outcome_name(&self) -> &'static str {
        match self.phase {
            StreamPhase::New | StreamPhase::Active => "open",
            StreamPhase::HandingOver { .. } => "handing_over",
            StreamPhase::Whole { .. } => "whole",
            StreamPhase::Refused { .. } => "refused",
            StreamPhase::Over => "left",
        }
    }

    /// Returns the generation of the stream's record.
    #[must_use]
    pub const fn generation(&self) -> u16 {
        self.generation
    }

    /// Returns the line of the stream: two copies of one stream differ in it.
    #[must_use]
    pub const fn copy_id(&self) -> u16 {
        self.copy_id
    }

    /// Returns the server of the present attempt.
    #[must_use]
    pub fn server(&self) -> Option<ServerKey> {
        self.attempt.as_ref().map(|attempt| attempt.server)
    }

    fn apply(&mut self, now: Timestamp, event: StreamEvent) {
        if matches!(self.phase, StreamPhase::HandingOver { .. }) && waits_for_handover(&event) {
            self.held.push(event);
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
            StreamEvent::CallerDisconnected { session } => self.on_caller_gone(now, session),
            StreamEvent::CallerResumed {
                session,
                from,
                copy_id,
            } => {
                self.on_caller_resumed(session, from, copy_id);
            }
            StreamEvent::HostStopping { deadline } => self.on_host_stopping(deadline),
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
        self.leaving.iter().any(|(known, _)| *known == server)
    }
}

/// Returns whether an event would change the record that is on its way.
const fn waits_for_handover(event: &StreamEvent) -> bool {
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

/// Returns the number below the first attempt of a generation.
const fn first_attempt(generation: u16) -> u32 {
    generation as u32 * ATTEMPTS_PER_GENERATION
}

/// Returns whether a restart for this cause must be counted as a retry.
const fn is_retry(cause: AttemptCause) -> bool {
    cause.needs_budget()
}
