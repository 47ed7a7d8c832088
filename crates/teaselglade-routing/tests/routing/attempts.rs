//! What follows an attempt: nothing that may have run runs twice, and "not run" is true.

use proptest::prelude::*;
use teaselglade_core::id::ServerKey;
use teaselglade_core::verdict::ExecutionVerdict;
use teaselglade_routing::attempt::{AttemptOutcome, AttemptTracker, NextStep};
use teaselglade_routing::table::RetryPolicy;

const OUTCOMES: [AttemptOutcome; 6] = [
    AttemptOutcome::Unreachable,
    AttemptOutcome::Rejected,
    AttemptOutcome::Misdirected,
    AttemptOutcome::Broken,
    AttemptOutcome::Failed,
    AttemptOutcome::TimedOut,
];
const RULES: [RetryPolicy; 3] = [
    RetryPolicy::Never,
    RetryPolicy::Restart,
    RetryPolicy::Resume,
];

#[test]
fn a_booking_that_was_rejected_goes_elsewhere_within_its_attempts() {
    let mut ledger = AttemptTracker::new(RetryPolicy::Never, 2);
    ledger.begin_attempt(ServerKey::new(0));
    let next = ledger.end_attempt(ServerKey::new(0), AttemptOutcome::Rejected);
    assert_eq!(next, NextStep::RetryWithinBudget);
    ledger.begin_attempt(ServerKey::new(1));
    let next = ledger.end_attempt(ServerKey::new(1), AttemptOutcome::Rejected);
    assert_eq!(next, NextStep::GiveUp(ExecutionVerdict::NotRun));
}

#[test]
fn failed_connections_do_not_count_as_attempts_and_are_bounded() {
    let mut ledger = AttemptTracker::new(RetryPolicy::Never, 1);
    for server in 0..2 {
        ledger.begin_attempt(ServerKey::new(server));
        let next = ledger.end_attempt(ServerKey::new(server), AttemptOutcome::Unreachable);
        assert_eq!(next, NextStep::Reconnect);
    }
    ledger.begin_attempt(ServerKey::new(2));
    let next = ledger.end_attempt(ServerKey::new(2), AttemptOutcome::Unreachable);
    assert_eq!(next, NextStep::GiveUp(ExecutionVerdict::NotRun));
    assert_eq!(ledger.attempts(), 0);
}

proptest! {
    /// Drives a ledger as the relay does, with a budget that always grants.
    #[test]
    fn requests_run_as_often_as_their_rule_allows(
        rule in prop::sample::select(&RULES),
        most in 1..4_u32,
        outcomes in prop::collection::vec(prop::sample::select(&OUTCOMES), 12),
    ) {
        let mut ledger = AttemptTracker::new(rule, most);
        let (mut runs, mut sent, mut verdict) = (0, 0, None);
        for (index, outcome) in outcomes.into_iter().enumerate() {
            let server = ServerKey::new(index as u32);
            prop_assert!(!ledger.tried().contains(&server));
            ledger.begin_attempt(server);
            sent += u32::from(outcome.has_arrived());
            runs += u32::from(outcome.may_have_run());
            if let NextStep::GiveUp(given) = ledger.end_attempt(server, outcome) {
                verdict = Some(given);
                break;
            }
        }
        prop_assert!(verdict.is_some(), "attempts end");
        prop_assert!(sent <= most);
        if rule == RetryPolicy::Never {
            prop_assert!(runs <= 1);
        }
        let told_not_run = verdict == Some(ExecutionVerdict::NotRun);
        prop_assert_eq!(told_not_run, runs == 0);
    }
}
