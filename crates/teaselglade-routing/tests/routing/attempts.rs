//! Retry decisions: a request that may have run is not retried against its policy, and a "not run"
//! verdict is always true.

use proptest::prelude::*;
use teaselglade_core::id::ServerKey;
use teaselglade_core::verdict::ExecutionVerdict;
use teaselglade_routing::attempt::{AttemptOutcome, AttemptTracker, NextStep};
use teaselglade_routing::table::RetryPolicy;

const OUTCOMES: [AttemptOutcome; 7] = [
    AttemptOutcome::Unreachable,
    AttemptOutcome::Rejected,
    AttemptOutcome::Misdirected,
    AttemptOutcome::Broken,
    AttemptOutcome::Failed,
    AttemptOutcome::TimedOut,
    AttemptOutcome::Superseded,
];
const POLICIES: [RetryPolicy; 3] = [
    RetryPolicy::Never,
    RetryPolicy::Restart,
    RetryPolicy::Resume,
];

#[test]
fn a_rejected_request_is_sent_elsewhere_within_its_attempts() {
    let mut tracker = AttemptTracker::new(RetryPolicy::Never, 2);
    tracker.begin_attempt(ServerKey::new(0));
    let next = tracker.end_attempt(ServerKey::new(0), AttemptOutcome::Rejected);
    assert_eq!(next, NextStep::RetryWithinBudget);
    tracker.begin_attempt(ServerKey::new(1));
    let next = tracker.end_attempt(ServerKey::new(1), AttemptOutcome::Rejected);
    assert_eq!(next, NextStep::GiveUp(ExecutionVerdict::NotRun));
}

#[test]
fn failed_connections_do_not_count_as_attempts_and_are_bounded() {
    let mut tracker = AttemptTracker::new(RetryPolicy::Never, 1);
    for server in 0..2 {
        tracker.begin_attempt(ServerKey::new(server));
        let next = tracker.end_attempt(ServerKey::new(server), AttemptOutcome::Unreachable);
        assert_eq!(next, NextStep::Reconnect);
    }
    tracker.begin_attempt(ServerKey::new(2));
    let next = tracker.end_attempt(ServerKey::new(2), AttemptOutcome::Unreachable);
    assert_eq!(next, NextStep::GiveUp(ExecutionVerdict::NotRun));
    assert_eq!(tracker.attempts(), 0);
}

proptest! {
    /// Drives a tracker like the relay does, with a retry budget that is never exhausted.
    #[test]
    fn requests_run_at_most_as_often_as_their_retry_policy_allows(
        policy in prop::sample::select(&POLICIES),
        max_attempts in 1..4_u32,
        outcomes in prop::collection::vec(prop::sample::select(&OUTCOMES), 12),
    ) {
        let mut tracker = AttemptTracker::new(policy, max_attempts);
        let (mut runs, mut sent, mut verdict) = (0, 0, None);
        for (index, outcome) in outcomes.into_iter().enumerate() {
            let server = ServerKey::new(index as u32);
            prop_assert!(!tracker.tried().contains(&server));
            tracker.begin_attempt(server);
            sent += u32::from(outcome.has_arrived());
            runs += u32::from(outcome.may_have_run());
            if let NextStep::GiveUp(final_verdict) = tracker.end_attempt(server, outcome) {
                verdict = Some(final_verdict);
                break;
            }
        }
        prop_assert!(verdict.is_some(), "the number of attempts is bounded");
        prop_assert!(sent <= max_attempts);
        if policy == RetryPolicy::Never {
            prop_assert!(runs <= 1);
        }
        let is_not_run = verdict == Some(ExecutionVerdict::NotRun);
        prop_assert_eq!(is_not_run, runs == 0);
    }
}
