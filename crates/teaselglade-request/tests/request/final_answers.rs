//! Final answers under arbitrary events, stale and repeated ones included.

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
        prompt: "Assess the ring.".to_owned(),
        max_tokens: MAX_TOKENS,
        adapter: None,
        priority: 0,
        deadline: Timestamp::from_millis(20_000),
    }
}

/// What the outside knows of one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AttemptFate {
    /// Nothing was heard of it; its task may be paused.
    Unheard,
    /// Its first news was that it did not run.
    NotRun,
    /// It was cancelled or sent something.
    MayRun,
}

/// Drives a machine with operation_ids and attempts of its own past actions.
#[derive(Debug)]
struct EventFeed {
    machine: StreamMachine,
    now: Timestamp,
    operation_ids: Vec<u32>,
    attempts: Vec<AttemptId>,
    fates: BTreeMap<AttemptId, AttemptFate>,
    actions: Vec<StreamAction>,
}

impl EventFeed {
    fn new() -> Self {
        let mut feed = Self {
            machine: StreamMachine::new(request(), StreamLimits::default()),
            now: Timestamp::ZERO,
            operation_ids: vec![0],
            attempts: vec![AttemptId::first(RequestId::from_bits(2))],
            fates: BTreeMap::new(),
            actions: Vec::new(),
        };
        feed.feed(StreamEvent::Admitted { prefer: None });
        feed
    }

    fn feed(&mut self, event: StreamEvent) {
        self.note_event(&event);
        for action in self.machine.on_event(self.now, event) {
            self.note_action(&action);
            self.actions.push(action);
        }
    }

    fn note_event(&mut self, event: &StreamEvent) {
        let (attempt, fate) = match event {
            StreamEvent::AttemptFailed { attempt, error } => match error.progress {
                SendProgress::MaybeSent => (*attempt, AttemptFate::MayRun),
                _ => (*attempt, AttemptFate::NotRun),
            },
            StreamEvent::Frame(EngineEvent::Token { attempt, .. })
            | StreamEvent::AttemptClosed { attempt } => (*attempt, AttemptFate::MayRun),
            _ => return,
        };
        if self.fates.get(&attempt) == Some(&AttemptFate::Unheard) {
            self.fates.insert(attempt, fate);
        }
    }

    fn note_action(&mut self, action: &StreamAction) {
        match action {
            StreamAction::Place { operation_id, .. }
            | StreamAction::RequestRetry { operation_id, .. }
            | StreamAction::MoveKv { operation_id, .. } => self.operation_ids.push(*operation_id),
            StreamAction::Dispatch { call, .. } => {
                self.attempts.push(call.attempt);
                self.fates.insert(call.attempt, AttemptFate::Unheard);
            }
            StreamAction::Cancel { attempt, .. } => {
                self.fates.insert(*attempt, AttemptFate::MayRun);
            }
            _ => {}
        }
    }

    /// Makes an event; `pick` chooses among old and new operation_ids and attempts, newest first.
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
        let mut feed = EventFeed::new();
        for (kind, pick, span_ms) in steps {
            feed.now = feed.now + Duration::from_millis(span_ms);
            let event = feed.event(kind, pick);
            feed.feed(event);
        }
        let refused = feed.actions.iter().position(|action| {
            matches!(action, StreamAction::Refuse { .. })
        });
        let Some(place) = refused else {
            return Ok(());
        };
        let is_dispatch = |action: &StreamAction| matches!(action, StreamAction::Dispatch { .. });
        let is_dispatched = feed.actions[place..].iter().any(is_dispatch);
        prop_assert!(!is_dispatched, "dispatched after the refusal");
        let StreamAction::Refuse { refusal } = &feed.actions[place] else {
            unreachable!("the place is that of a refusal");
        };
        if refusal.verdict == ExecutionVerdict::NotRun {
            let is_not_run = |fate: &AttemptFate| *fate == AttemptFate::NotRun;
            prop_assert!(feed.fates.values().all(is_not_run), "{:?}", feed.fates);
        }
    }
}

#[test]
fn copies_of_a_stream_are_not_mixed() {
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
    assert!(!resume(2, 0), "tokens before the handover are common");
    assert!(!resume(1, 2));
    assert!(resume(3, 2), "nobody got a token beyond the last");
}

#[test]
fn a_caller_of_a_lost_copy_is_told_so() {
    let mut feed = EventFeed::new();
    let placed = feed.event(0, 0);
    feed.feed(placed);
    for _ in 0..3 {
        let token = feed.event(15, 0);
        feed.feed(token);
    }
    let session = CallerSession::default().next();
    let event = StreamEvent::CallerResumed {
        session,
        from: 2,
        copy_id: Some(1),
    };
    feed.feed(event);
    let last = feed.actions.last();
    assert!(
        matches!(last, Some(StreamAction::RejectResume { .. })),
        "{last:?}"
    );
}

#[test]
fn a_record_on_its_way_does_not_change() {
    let mut feed = EventFeed::new();
    let placed = feed.event(0, 0);
    feed.feed(placed);
    let deadline = Some(Timestamp::from_millis(100));
    feed.feed(StreamEvent::HostStopping { deadline });
    feed.feed(StreamEvent::TimerFired);
    let token = feed.event(15, 0);
    feed.feed(token);
    let is_delivery = |action: &StreamAction| matches!(action, StreamAction::Deliver { .. });
    assert!(!feed.actions.iter().any(is_delivery));
    feed.feed(StreamEvent::HandoverFailed { generation: 4 });
    assert!(feed.actions.iter().any(is_delivery), "held tokens follow");
}
