//! Tests of final responses under arbitrary events, including stale and repeated ones.

use std::collections::BTreeMap;
use std::time::Duration;

use proptest::prelude::*;
use teaselglade_core::id::{AttemptId, RequestId, ServerKey};
use teaselglade_core::port::{AttemptError, EngineEvent};
use teaselglade_core::time::Timestamp;
use teaselglade_core::verdict::{ExecutionVerdict, RefusalReason, RequestRefusal, SendProgress};
use teaselglade_request::retry::RetryDecision;
use teaselglade_request::stream::{
    CallerSession, StreamAction, StreamEvent, StreamLimits, StreamMachine, StreamRecord,
    StreamRequest,
};

const MAX_TOKENS: u32 = 4;

fn request() -> StreamRequest {
    StreamRequest {
        id: RequestId::from_bits(1),
        organisation: "corrib".to_owned(),
        service: "draft-fleet".to_owned(),
        prompt: "Summarize the report.".to_owned(),
        max_tokens: MAX_TOKENS,
        adapter: None,
        priority: 0,
        deadline: Timestamp::from_millis(20_000),
    }
}

/// States what was observed of one attempt from outside the machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AttemptObservation {
    /// Nothing was received from the attempt; its task may be paused.
    Unobserved,
    /// The attempt first reported that it did not run.
    NotRun,
    /// The attempt was cancelled or sent a frame.
    MayRun,
}

/// Drives a machine with events for the operations and attempts of its past actions.
#[derive(Debug)]
struct MachineDriver {
    machine: StreamMachine,
    now: Timestamp,
    operation_ids: Vec<u32>,
    attempts: Vec<AttemptId>,
    observations: BTreeMap<AttemptId, AttemptObservation>,
    actions: Vec<StreamAction>,
}

impl MachineDriver {
    fn new() -> Self {
        let mut driver = Self {
            machine: StreamMachine::new(request(), StreamLimits::default()),
            now: Timestamp::ZERO,
            operation_ids: vec![0],
            attempts: vec![AttemptId::first(RequestId::from_bits(2))],
            observations: BTreeMap::new(),
            actions: Vec::new(),
        };
        driver.apply(StreamEvent::Admitted { prefer: None });
        driver
    }

    fn apply(&mut self, event: StreamEvent) {
        self.record_event(&event);
        for action in self.machine.on_event(self.now, event) {
            self.record_action(&action);
            self.actions.push(action);
        }
    }

    fn record_event(&mut self, event: &StreamEvent) {
        let (attempt, observation) = match event {
            StreamEvent::AttemptFailed { attempt, error } => match error.progress {
                SendProgress::MaybeSent => (*attempt, AttemptObservation::MayRun),
                _ => (*attempt, AttemptObservation::NotRun),
            },
            StreamEvent::Frame(EngineEvent::Token { attempt, .. })
            | StreamEvent::AttemptClosed { attempt } => (*attempt, AttemptObservation::MayRun),
            _ => return,
        };
        if self.observations.get(&attempt) == Some(&AttemptObservation::Unobserved) {
            self.observations.insert(attempt, observation);
        }
    }

    fn record_action(&mut self, action: &StreamAction) {
        match action {
            StreamAction::Place { operation_id, .. }
            | StreamAction::RequestRetry { operation_id, .. }
            | StreamAction::MoveKv { operation_id, .. } => self.operation_ids.push(*operation_id),
            StreamAction::Dispatch { call, .. } => {
                self.attempts.push(call.attempt);
                self.observations
                    .insert(call.attempt, AttemptObservation::Unobserved);
            }
            StreamAction::Cancel { attempt, .. } => {
                self.observations
                    .insert(*attempt, AttemptObservation::MayRun);
            }
            _ => {}
        }
    }

    /// Returns an event; `pick` selects an operation and an attempt, the newest first.
    fn event(&self, kind: u8, pick: usize) -> StreamEvent {
        let operation_id =
            self.operation_ids[self.operation_ids.len() - 1 - pick % self.operation_ids.len()];
        let attempt = self.attempts[self.attempts.len() - 1 - pick % self.attempts.len()];
        let server = ServerKey::new(pick as u32);
        let failed = |progress| StreamEvent::AttemptFailed {
            attempt,
            error: AttemptError::new(progress, "failed"),
        };
        match kind {
            0..=3 => StreamEvent::Placed {
                operation_id,
                server,
            },
            4 => StreamEvent::NotPlaced {
                operation_id,
                refusal: RequestRefusal::not_run(RefusalReason::NoServer, "none"),
            },
            5..=7 => {
                let delay = Duration::from_millis(5);
                let decision = RetryDecision::Granted { delay };
                StreamEvent::RetryDecided {
                    operation_id,
                    decision,
                }
            }
            8 => {
                let retry_after = Duration::from_secs(1);
                let decision = RetryDecision::Denied { retry_after };
                StreamEvent::RetryDecided {
                    operation_id,
                    decision,
                }
            }
            9..=11 => failed(SendProgress::NotSent),
            12 => failed(SendProgress::RefusedBeforeRunning),
            13 => failed(SendProgress::MaybeSent),
            14 => StreamEvent::AttemptClosed { attempt },
            15 => StreamEvent::Frame(EngineEvent::Token {
                attempt,
                index: self.machine.accepted_tokens() as u32,
                text: "w".to_owned(),
            }),
            16 => StreamEvent::KvMoved {
                operation_id,
                handle: "kv".to_owned(),
            },
            17 => StreamEvent::ServerLeaving {
                server,
                deadline: self.now + Duration::from_secs(2),
            },
            18 => StreamEvent::HandoverFailed { generation: 4 },
            _ => StreamEvent::TimerFired,
        }
    }
}

proptest! {
    #[test]
    fn a_refused_request_is_never_dispatched_and_not_run_is_true(
        steps in prop::collection::vec((0_u8..21, 0_usize..3, 0_u64..1_500), 1..40),
    ) {
        let mut driver = MachineDriver::new();
        for (kind, pick, elapsed_ms) in steps {
            driver.now = driver.now + Duration::from_millis(elapsed_ms);
            let event = driver.event(kind, pick);
            driver.apply(event);
        }
        let first_refusal = driver.actions.iter().position(|action| {
            matches!(action, StreamAction::Refuse { .. })
        });
        let Some(refusal_index) = first_refusal else {
            return Ok(());
        };
        let is_dispatch = |action: &StreamAction| matches!(action, StreamAction::Dispatch { .. });
        let is_dispatched = driver.actions[refusal_index..].iter().any(is_dispatch);
        prop_assert!(!is_dispatched, "an attempt was dispatched after the refusal");
        let StreamAction::Refuse { refusal } = &driver.actions[refusal_index] else {
            unreachable!("the index is that of a refusal");
        };
        if refusal.verdict == ExecutionVerdict::NotRun {
            let is_not_run = |observation: &AttemptObservation| {
                *observation == AttemptObservation::NotRun
            };
            prop_assert!(driver.observations.values().all(is_not_run), "{:?}", driver.observations);
        }
    }
}

#[test]
fn tokens_of_two_copies_of_a_stream_are_not_mixed() {
    let record = StreamRecord {
        request: request(),
        delivered: vec!["a".to_owned(), "b".to_owned()],
        total: Some(2),
        generation: 2,
        retries: 0,
        server: None,
    };
    let resume = |from, copy_id| {
        let limits = StreamLimits::default();
        let mut machine = StreamMachine::resume(record.clone(), limits, Timestamp::ZERO);
        let session = CallerSession::default().next();
        let event = StreamEvent::CallerResumed {
            session,
            from,
            copy_id: Some(copy_id),
        };
        let actions = machine.on_event(Timestamp::ZERO, event);
        matches!(actions[0], StreamAction::RejectResume { .. })
    };
    assert!(
        !resume(2, 0),
        "both copies share the tokens before the handover"
    );
    assert!(!resume(1, 2));
    assert!(
        resume(3, 2),
        "no caller received a token after the last one"
    );
}

#[test]
fn a_caller_of_a_lost_copy_cannot_resume() {
    let mut driver = MachineDriver::new();
    let placed = driver.event(0, 0);
    driver.apply(placed);
    for _ in 0..3 {
        let token = driver.event(15, 0);
        driver.apply(token);
    }
    let session = CallerSession::default().next();
    let event = StreamEvent::CallerResumed {
        session,
        from: 2,
        copy_id: Some(1),
    };
    driver.apply(event);
    let last = driver.actions.last();
    assert!(
        matches!(last, Some(StreamAction::RejectResume { .. })),
        "{last:?}"
    );
}

#[test]
fn a_record_does_not_change_during_its_handover() {
    let mut driver = MachineDriver::new();
    let placed = driver.event(0, 0);
    driver.apply(placed);
    let deadline = Some(Timestamp::from_millis(100));
    driver.apply(StreamEvent::HostStopping { deadline });
    driver.apply(StreamEvent::TimerFired);
    let token = driver.event(15, 0);
    driver.apply(token);
    let is_delivery = |action: &StreamAction| matches!(action, StreamAction::Deliver { .. });
    assert!(!driver.actions.iter().any(is_delivery));
    driver.apply(StreamEvent::HandoverFailed { generation: 4 });
    assert!(
        driver.actions.iter().any(is_delivery),
        "deferred tokens are delivered"
    );
}

/// Returns the event of a token.
fn token(attempt: AttemptId, index: u32) -> StreamEvent {
    let text = "token".to_owned();
    StreamEvent::Frame(EngineEvent::Token {
        attempt,
        index,
        text,
    })
}

/// Returns the request for a retry that was made last.
fn last_retry(driver: &MachineDriver) -> Option<u32> {
    let mut actions = driver.actions.iter().rev();
    actions.find_map(|action| match action {
        StreamAction::RequestRetry { operation_id, .. } => Some(*operation_id),
        _ => None,
    })
}

/// Returns a machine whose second attempt is silent and whose retry was denied.
fn driver_with_denied_retry() -> (MachineDriver, AttemptId) {
    let mut driver = MachineDriver::new();
    let operation_id = *driver.operation_ids.last().expect("an operation");
    let server = ServerKey::new(0);
    driver.apply(StreamEvent::Placed {
        operation_id,
        server,
    });
    let mut index = 0;
    // The first silence is answered by a reconnection outside the budget.
    while last_retry(&driver).is_none() {
        let attempt = *driver.attempts.last().expect("an attempt");
        driver.apply(token(attempt, index));
        index += 1;
        driver.now = driver.now + StreamLimits::default().progress_timeout;
        driver.apply(StreamEvent::TimerFired);
    }
    let attempt = *driver.attempts.last().expect("an attempt");
    let operation_id = last_retry(&driver).expect("a request for a retry");
    let decision = RetryDecision::Denied {
        retry_after: Duration::from_secs(1),
    };
    driver.apply(StreamEvent::RetryDecided {
        operation_id,
        decision,
    });
    (driver, attempt)
}

#[test]
fn a_silent_attempt_goes_on_when_no_retry_is_granted() {
    let (mut driver, attempt) = driver_with_denied_retry();
    let is_refusal = |action: &StreamAction| matches!(action, StreamAction::Refuse { .. });
    assert!(!driver.actions.iter().any(is_refusal));
    for index in 2..MAX_TOKENS {
        driver.apply(token(attempt, index));
    }
    let total = MAX_TOKENS;
    driver.apply(StreamEvent::Frame(EngineEvent::End { attempt, total }));
    let last = driver.actions.last();
    assert!(
        driver.actions.iter().any(|action| matches!(
            action,
            StreamAction::Finish {
                total: MAX_TOKENS,
                ..
            }
        )),
        "{last:?}"
    );
}

#[test]
fn a_silent_attempt_asks_for_a_retry_again_after_a_denial() {
    let (mut driver, _attempt) = driver_with_denied_retry();
    let denied = last_retry(&driver);
    driver.now = driver.now + StreamLimits::default().progress_timeout;
    driver.apply(StreamEvent::TimerFired);
    assert_ne!(last_retry(&driver), denied);
    let attempts = driver.attempts.len();
    let operation_id = last_retry(&driver).expect("a request for a retry");
    let delay = Duration::ZERO;
    driver.apply(StreamEvent::RetryDecided {
        operation_id,
        decision: RetryDecision::Granted { delay },
    });
    let operation_id = *driver.operation_ids.last().expect("a placement");
    let server = ServerKey::new(1);
    driver.apply(StreamEvent::Placed {
        operation_id,
        server,
    });
    assert_eq!(driver.attempts.len(), attempts + 1);
}

#[test]
fn a_silent_attempt_that_resumes_withdraws_its_replacement() {
    let (mut driver, attempt) = driver_with_denied_retry();
    driver.now = driver.now + StreamLimits::default().progress_timeout;
    driver.apply(StreamEvent::TimerFired);
    let operation_id = last_retry(&driver).expect("a request for a retry");
    let delay = Duration::from_millis(100);
    driver.apply(StreamEvent::RetryDecided {
        operation_id,
        decision: RetryDecision::Granted { delay },
    });
    let (attempts, index) = (driver.attempts.len(), 2);
    driver.apply(token(attempt, index));
    driver.now = driver.now + delay;
    driver.apply(StreamEvent::TimerFired);
    assert_eq!(driver.attempts.len(), attempts);
    let is_cancel = |action: &StreamAction| matches!(action, StreamAction::Cancel { attempt: cancelled, .. } if *cancelled == attempt);
    assert!(!driver.actions.iter().any(is_cancel));
}

#[test]
fn a_reconnection_that_fails_leaves_the_silent_attempt_running() {
    let mut driver = MachineDriver::new();
    let operation_id = *driver.operation_ids.last().expect("an operation");
    let server = ServerKey::new(0);
    driver.apply(StreamEvent::Placed {
        operation_id,
        server,
    });
    let silent = *driver.attempts.last().expect("an attempt");
    driver.apply(token(silent, 0));
    driver.now = driver.now + StreamLimits::default().progress_timeout;
    driver.apply(StreamEvent::TimerFired);
    let attempt = *driver.attempts.last().expect("a reconnection");
    assert_ne!(attempt, silent);
    let error = AttemptError::new(SendProgress::NotSent, "connection refused");
    driver.apply(StreamEvent::AttemptFailed { attempt, error });
    if let Some(operation_id) = last_retry(&driver) {
        let retry_after = Duration::from_secs(1);
        driver.apply(StreamEvent::RetryDecided {
            operation_id,
            decision: RetryDecision::Denied { retry_after },
        });
    }
    for index in 1..MAX_TOKENS {
        driver.apply(token(silent, index));
    }
    let total = MAX_TOKENS;
    driver.apply(StreamEvent::Frame(EngineEvent::End {
        attempt: silent,
        total,
    }));
    let is_finish = |action: &StreamAction| matches!(action, StreamAction::Finish { .. });
    assert!(
        driver.actions.iter().any(is_finish),
        "{:?}",
        driver.actions.last()
    );
}
