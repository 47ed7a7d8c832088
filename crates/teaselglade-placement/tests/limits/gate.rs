//! The gate holds nothing beyond its latest start and never brings up what it refused.

use std::collections::HashSet;
use std::time::Duration;

use proptest::prelude::*;
use teaselglade_core::id::{OrganisationKey, RequestId};
use teaselglade_core::time::Timestamp;
use teaselglade_core::verdict::{ExecutionVerdict, RefusalReason, RequestRefusal};
use teaselglade_placement::admission::{AdmissionDecision, AdmissionQueue, AdmissionRequest};

const SLACK: Duration = Duration::from_millis(100);

#[derive(Debug, Clone, Copy)]
enum GateStep {
    Offer(u16),
    Dispatch,
    Hold,
    Wait(u64),
}

fn step() -> impl Strategy<Value = GateStep> {
    prop_oneof![
        4 => (0..4_u16).prop_map(GateStep::Offer),
        2 => Just(GateStep::Dispatch),
        1 => Just(GateStep::Hold),
        2 => (1..60_u64).prop_map(GateStep::Wait),
    ]
}

fn is_refusal_for_lateness(refusal: &RequestRefusal) -> bool {
    refusal.verdict == ExecutionVerdict::NotRun
        && refusal.reason == RefusalReason::PredictedLate
        && refusal.retry_after.is_some_and(|span| !span.is_zero())
}

proptest! {
    #[test]
    fn what_is_refused_never_runs(steps in prop::collection::vec(step(), 1..200)) {
        let mut gate = AdmissionQueue::default();
        let mut now = Timestamp::from_millis(1_000);
        let mut refused = HashSet::new();
        for (id, step) in (0..).zip(steps) {
            match step {
                GateStep::Offer(organisation) => {
                    let request = RequestId::from_bits(id);
                    let verdict = gate.offer(now, AdmissionRequest {
                        request,
                        organisation: OrganisationKey::new(organisation),
                        weight: 1.0,
                        tokens: 100.0,
                        latest_start: now + SLACK,
                    });
                    if let AdmissionDecision::Refused(refusal) = verdict {
                        prop_assert!(is_refusal_for_lateness(&refusal));
                        refused.insert(request);
                    }
                }
                GateStep::Dispatch => {
                    if let Some(head) = gate.head() {
                        prop_assert!(!refused.contains(&head.request));
                        prop_assert!(now <= head.latest_start);
                    }
                    gate.dispatch_head(now);
                }
                GateStep::Hold => gate.hold_head(now),
                GateStep::Wait(millis) => now = now + Duration::from_millis(millis),
            }
            for given_up in gate.expire(now) {
                prop_assert!(is_refusal_for_lateness(&given_up.refusal));
                prop_assert!(refused.insert(given_up.request));
            }
        }
        gate.expire(now + SLACK + SLACK);
        prop_assert_eq!(gate.waiting(), 0);
    }
}
