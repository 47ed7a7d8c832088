//! Plain calls without a claim.

use std::time::Duration;

use proptest::prelude::*;
use teaselglade_claims::plain::{
    PermitDecision, PlainAction, PlainEvent, PlainMachine, RetryPermit, RetrySafety,
};
use teaselglade_core::port::AttemptError;
use teaselglade_core::time::Timestamp;
use teaselglade_core::verdict::{ExecutionVerdict, SendProgress};

const DEADLINE: Timestamp = Timestamp::from_millis(10_000);

#[derive(Debug)]
struct FixedBudget(u32);

impl RetryPermit for FixedBudget {
    fn request_retry(
        &mut self,
        _now: Timestamp,
        _deadline: Timestamp,
        _retry: u32,
    ) -> PermitDecision {
        if self.0 == 0 {
            let retry_after = Duration::from_secs(1);
            return PermitDecision::Denied { retry_after };
        }
        self.0 -= 1;
        let delay = Duration::from_millis(1);
        PermitDecision::Granted { delay }
    }
}

fn progress() -> impl Strategy<Value = SendProgress> {
    prop_oneof![
        Just(SendProgress::NotSent),
        Just(SendProgress::RefusedBeforeRunning),
        Just(SendProgress::MaybeSent),
    ]
}

proptest! {
    #[test]
    fn a_call_that_must_run_once_is_sent_to_at_most_one_server(
        failures in prop::collection::vec(progress(), 1..8),
        budget in 0..8_u32,
        idempotent: bool,
    ) {
        let safety = if idempotent { RetrySafety::Idempotent } else { RetrySafety::AtMostOnce };
        let mut machine = PlainMachine::new(safety, DEADLINE);
        let mut permit = FixedBudget(budget);
        let mut now = Timestamp::ZERO;
        let mut sent = 0;
        let mut dispatches = 0;
        let mut answer = None;
        let mut failures = failures.into_iter().cycle();
        let mut event = PlainEvent::Started;
        while answer.is_none() {
            let actions = machine.on_event(now, event, &mut permit);
            event = PlainEvent::Woken;
            for action in actions {
                match action {
                    PlainAction::Dispatch { .. } => {
                        let progress = failures.next().expect("cycles");
                        dispatches += 1;
                        sent += u32::from(progress == SendProgress::MaybeSent);
                        event = PlainEvent::Attempted(Err(AttemptError::new(progress, "cut")));
                    }
                    PlainAction::WakeAt(at) => now = at,
                    PlainAction::Answer(result) => answer = Some(result),
                }
            }
        }
        let refusal = answer.expect("loop ended").expect_err("no attempt succeeds");
        prop_assert!(dispatches <= budget + 1);
        prop_assert!(idempotent || sent <= 1);
        prop_assert_eq!(refusal.verdict == ExecutionVerdict::NotRun, sent == 0);
    }
}
