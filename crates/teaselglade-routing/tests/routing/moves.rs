//! Moves of silent streams: an attempt is given up only for one that has brought its next event.

use proptest::prelude::*;
use teaselglade_core::verdict::ExecutionVerdict;
use teaselglade_routing::attempt::{AttemptRole, MoveAction, MoveDecider, MoveEvent, NextStep};

const NEXT_STEPS: [NextStep; 4] = [
    NextStep::Reconnect,
    NextStep::RetryWithinBudget,
    NextStep::GiveUp(ExecutionVerdict::NotRun),
    NextStep::GiveUp(ExecutionVerdict::MayHaveRun),
];

fn decider_with_standby() -> MoveDecider {
    let mut decider = MoveDecider::default();
    let action = decider.on_event(MoveEvent::SilenceLasted);
    assert_eq!(action, MoveAction::StartStandby { takes_retry: true });
    let action = decider.on_event(MoveEvent::StandbyStarted);
    assert_eq!(action, MoveAction::ReadOn);
    decider
}

#[test]
fn a_silent_attempt_without_another_server_is_read_on_and_checked_again() {
    let mut decider = MoveDecider::default();
    decider.on_event(MoveEvent::SilenceLasted);
    let action = decider.on_event(MoveEvent::StandbyDenied);
    assert_eq!(action, MoveAction::CheckAgain);
    let action = decider.on_event(MoveEvent::SilenceLasted);
    assert_eq!(action, MoveAction::StartStandby { takes_retry: true });
}

#[test]
fn the_attempt_that_brings_the_next_event_goes_on() {
    let mut decider = decider_with_standby();
    let action = decider.on_event(MoveEvent::Progressed(AttemptRole::Standby));
    assert_eq!(action, MoveAction::DropPrimary);
    let mut decider = decider_with_standby();
    let action = decider.on_event(MoveEvent::Progressed(AttemptRole::Primary));
    assert_eq!(action, MoveAction::DropStandby);
    let action = decider.on_event(MoveEvent::Progressed(AttemptRole::Primary));
    assert_eq!(action, MoveAction::ReadOn);
}

#[test]
fn a_standby_replaces_a_primary_that_fails() {
    let failed = MoveEvent::Failed(AttemptRole::Primary, NextStep::RetryWithinBudget);
    let mut decider = decider_with_standby();
    assert_eq!(decider.on_event(failed), MoveAction::PromoteStandby);
    assert_eq!(decider.on_event(failed), MoveAction::EndAttempt);
}

#[test]
fn a_standby_that_reached_no_server_leaves_its_retry_to_the_next() {
    let mut decider = decider_with_standby();
    let action = decider.on_event(MoveEvent::Failed(AttemptRole::Standby, NextStep::Reconnect));
    assert_eq!(action, MoveAction::StartStandby { takes_retry: false });
    decider.on_event(MoveEvent::StandbyDenied);
    let action = decider.on_event(MoveEvent::SilenceLasted);
    assert_eq!(action, MoveAction::StartStandby { takes_retry: false });
    decider.on_event(MoveEvent::StandbyStarted);
    let failed = MoveEvent::Failed(AttemptRole::Standby, NextStep::RetryWithinBudget);
    assert_eq!(decider.on_event(failed), MoveAction::CheckAgain);
    let action = decider.on_event(MoveEvent::SilenceLasted);
    assert_eq!(action, MoveAction::StartStandby { takes_retry: true });
}

/// Engines as a relay drives them: which attempts are open, and what their servers do next.
#[derive(Debug, Default)]
struct OpenAttempts {
    has_primary: bool,
    has_standby: bool,
    granted_retries: u32,
    /// Standbys that a server may have received.
    sent_standbys: u32,
}

impl OpenAttempts {
    /// Executes an action as the relay does.
    fn execute(&mut self, decider: &mut MoveDecider, action: MoveAction, is_granted: bool) {
        match action {
            MoveAction::StartStandby { takes_retry } if is_granted => {
                assert!(!self.has_standby, "two standbys");
                self.granted_retries += u32::from(takes_retry);
                self.has_standby = true;
                let action = decider.on_event(MoveEvent::StandbyStarted);
                assert_eq!(action, MoveAction::ReadOn);
            }
            MoveAction::StartStandby { .. } => {
                let action = decider.on_event(MoveEvent::StandbyDenied);
                assert_eq!(action, MoveAction::CheckAgain);
            }
            MoveAction::DropStandby | MoveAction::DropPrimary | MoveAction::PromoteStandby => {
                assert!(self.has_standby, "no standby to act on");
                self.has_standby = false;
                self.sent_standbys += 1;
            }
            MoveAction::EndAttempt => self.has_primary = false,
            MoveAction::ReadOn | MoveAction::CheckAgain => {}
        }
    }
}

proptest! {
    /// Drives a decider like the relay does, with engines that do anything in any order.
    #[test]
    fn silence_ends_no_attempt_before_another_brings_the_next_event(
        steps in prop::collection::vec((0..5_u8, any::<bool>(), prop::sample::select(&NEXT_STEPS)), 1..60),
    ) {
        let mut decider = MoveDecider::default();
        let mut attempts = OpenAttempts { has_primary: true, ..OpenAttempts::default() };
        for (kind, is_granted, next) in steps {
            let event = match kind {
                0 => MoveEvent::SilenceLasted,
                1 => MoveEvent::Progressed(AttemptRole::Primary),
                2 if attempts.has_standby => MoveEvent::Progressed(AttemptRole::Standby),
                3 if attempts.has_standby => MoveEvent::Failed(AttemptRole::Standby, next),
                4 => MoveEvent::Failed(AttemptRole::Primary, next),
                _ => continue,
            };
            let had_standby = attempts.has_standby;
            if let MoveEvent::Failed(AttemptRole::Standby, next) = event {
                attempts.has_standby = false;
                attempts.sent_standbys += u32::from(next != NextStep::Reconnect);
            }
            let action = decider.on_event(event);
            let is_dropped_for_silence = action == MoveAction::DropPrimary;
            prop_assert_eq!(
                is_dropped_for_silence,
                event == MoveEvent::Progressed(AttemptRole::Standby)
            );
            attempts.execute(&mut decider, action, is_granted);
            prop_assert!(attempts.granted_retries <= attempts.sent_standbys + 1);
            prop_assert!(attempts.sent_standbys <= attempts.granted_retries);
            if !attempts.has_primary {
                prop_assert!(matches!(event, MoveEvent::Failed(AttemptRole::Primary, _)));
                prop_assert!(!had_standby, "a standby was open");
                break;
            }
        }
    }
}
