//! What a stopping host accepts: whatever ends in time, nothing that would be cut.

use std::time::Duration;

use proptest::prelude::*;
use teaselglade_core::time::Timestamp;
use teaselglade_core::verdict::{ExecutionVerdict, RefusalReason};
use teaselglade_routing::shutdown::ShutdownPlan;

const GRACE: Duration = Duration::from_secs(8);
const SIGNAL: Timestamp = Timestamp::from_millis(100_000);

fn after_signal(ms: u64) -> Timestamp {
    SIGNAL + Duration::from_millis(ms)
}

fn is_admitted(plan: &ShutdownPlan, sent_ms: u64, limit_ms: u64) -> bool {
    let deadline = after_signal(sent_ms + limit_ms);
    plan.admit(after_signal(sent_ms), deadline).is_ok()
}

#[test]
fn a_signal_that_is_noticed_at_once_ends_accepting_and_then_answers() {
    let plan = ShutdownPlan::new(SIGNAL, SIGNAL, GRACE);
    assert_eq!(plan.accepting_ends_at(), after_signal(2_600));
    assert_eq!(plan.answers_end_at(), after_signal(7_500));
}

/// Readiness probes fail from the notice on, but the process is killed by the signal's time.
#[test]
fn a_late_notice_moves_the_end_of_accepting() {
    for (noticed_ms, accepting_ends_ms) in [(300, 2_900), (1_000, 3_600), (6_000, 8_600)] {
        let plan = ShutdownPlan::new(SIGNAL, after_signal(noticed_ms), GRACE);
        assert_eq!(plan.accepting_ends_at(), after_signal(accepting_ends_ms));
        assert!(!is_admitted(&plan, 3_001, 10_000));
    }
}

/// The signal may have come at any time between; the kill comes 8 s after it.
#[test]
fn no_answer_is_aborted_before_the_last_sixth_of_the_grace_period() {
    for noticed_ms in 0..8_000 {
        let noticed_at = after_signal(noticed_ms);
        let end = ShutdownPlan::new(SIGNAL, noticed_at, GRACE).answers_end_at();
        assert!(end.since(noticed_at) > GRACE * 5 / 6, "{noticed_ms}");
        let is_in_time = end <= after_signal(7_750);
        assert!(is_in_time || noticed_ms > 1_000, "{noticed_ms}");
    }
}

#[test]
fn a_request_whose_limit_fits_is_accepted_until_the_end() {
    let plan = ShutdownPlan::new(SIGNAL, SIGNAL, GRACE);
    for sent_ms in [0, 2_400, 5_000, 6_700, 7_500] {
        assert!(is_admitted(&plan, sent_ms, 7_500 - sent_ms), "{sent_ms}");
    }
}

#[test]
fn a_request_of_a_long_limit_is_accepted_while_it_very_probably_ends() {
    let plan = ShutdownPlan::new(SIGNAL, SIGNAL, GRACE);
    assert!(is_admitted(&plan, 0, 10_000));
    assert!(is_admitted(&plan, 3_000, 10_000));
    assert!(!is_admitted(&plan, 3_001, 10_000));
    assert!(!is_admitted(&plan, 7_000, 800));
}

/// Later than that an answer that is cut counts as lost, and earlier a slow one is excused.
#[test]
fn a_request_that_may_be_cut_came_within_three_seconds_of_the_signal() {
    for noticed_ms in [0, 300, 1_000, 3_000, 7_900] {
        let plan = ShutdownPlan::new(SIGNAL, after_signal(noticed_ms), GRACE);
        for sent_ms in (0..8_000).step_by(50) {
            for limit_ms in [800, 5_000, 10_000] {
                let may_be_cut = sent_ms + limit_ms > 7_500;
                let is_excused = sent_ms <= 3_000;
                assert!(is_excused || !(may_be_cut && is_admitted(&plan, sent_ms, limit_ms)));
            }
        }
    }
}

#[test]
fn a_refusal_says_that_the_request_did_not_run_and_asks_for_a_prompt_repeat() {
    let plan = ShutdownPlan::new(SIGNAL, SIGNAL, GRACE);
    let refusal = plan
        .admit(after_signal(6_000), after_signal(16_000))
        .expect_err("a refusal");
    assert_eq!(refusal.verdict, ExecutionVerdict::NotRun);
    assert_eq!(refusal.reason, RefusalReason::NotReady);
    assert!(refusal.retry_after.is_some());
    assert_eq!(
        refusal.detail,
        "this host stops in 1500 ms, the request may take 10000 ms"
    );
}

proptest! {
    /// Whoever is refused now is refused later, and a shorter limit is never worse.
    #[test]
    fn refusals_are_monotonic(
        grace_ms in 0_u64..40_000,
        noticed_ms in 0_u64..10_000,
        sent_ms in 0_u64..40_000,
        later_ms in 0_u64..10_000,
        limit_ms in 0_u64..20_000,
        shorter_ms in 0_u64..20_000,
    ) {
        let grace = Duration::from_millis(grace_ms);
        let plan = ShutdownPlan::new(SIGNAL, after_signal(noticed_ms), grace);
        prop_assert!(plan.accepting_ends_at() <= plan.answers_end_at());
        let is_accepted = is_admitted(&plan, sent_ms, limit_ms);
        prop_assert!(is_accepted || !is_admitted(&plan, sent_ms + later_ms, limit_ms));
        let shorter_ms = limit_ms.min(shorter_ms);
        prop_assert!(!is_accepted || is_admitted(&plan, sent_ms, shorter_ms));
    }
}
