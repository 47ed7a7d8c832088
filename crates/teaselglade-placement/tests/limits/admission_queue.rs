//! The admission queue expires late requests and never returns a refused one.

use std::collections::HashSet;
use std::time::Duration;

use proptest::prelude::*;
use teaselglade_core::id::{OrganisationKey, RequestId};
use teaselglade_core::time::Timestamp;
use teaselglade_core::verdict::{ExecutionVerdict, RefusalReason, RequestRefusal};
use teaselglade_placement::admission::{AdmissionDecision, AdmissionQueue, AdmissionRequest};

const MAX_WAIT: Duration = Duration::from_millis(100);

#[derive(Debug, Clone, Copy)]
enum QueueStep {
    Offer(u16),
    Dispatch,
    Hold,
    Wait(u64),
}

fn step() -> impl Strategy<Value = QueueStep> {
    prop_oneof![
        4 => (0..4_u16).prop_map(QueueStep::Offer),
        2 => Just(QueueStep::Dispatch),
        1 => Just(QueueStep::Hold),
        2 => (1..60_u64).prop_map(QueueStep::Wait),
    ]
}

fn is_lateness_refusal(refusal: &RequestRefusal) -> bool {
    refusal.verdict == ExecutionVerdict::NotRun
        && refusal.reason == RefusalReason::PredictedLate
        && refusal.retry_after.is_some_and(|delay| !delay.is_zero())
}

proptest! {
    #[test]
    fn refused_requests_are_never_dispatched(steps in prop::collection::vec(step(), 1..200)) {
        let mut queue = AdmissionQueue::default();
        let mut now = Timestamp::from_millis(1_000);
        let mut refused = HashSet::new();
        for (id, step) in (0..).zip(steps) {
            match step {
                QueueStep::Offer(organisation) => {
                    let request = RequestId::from_bits(id);
                    let decision = queue.offer(now, AdmissionRequest {
                        request,
                        organisation: OrganisationKey::new(organisation),
                        weight: 1.0,
                        tokens: 100.0,
                        latest_start: now + MAX_WAIT,
                    });
                    if let AdmissionDecision::Refused(refusal) = decision {
                        prop_assert!(is_lateness_refusal(&refusal));
                        refused.insert(request);
                    }
                }
                QueueStep::Dispatch => {
                    if let Some(head) = queue.head() {
                        prop_assert!(!refused.contains(&head.request));
                        prop_assert!(now <= head.latest_start);
                    }
                    queue.dispatch_head(now);
                }
                QueueStep::Hold => queue.hold_head(now),
                QueueStep::Wait(millis) => now = now + Duration::from_millis(millis),
            }
            for expired in queue.expire(now) {
                prop_assert!(is_lateness_refusal(&expired.refusal));
                prop_assert!(refused.insert(expired.request));
            }
        }
        queue.expire(now + MAX_WAIT + MAX_WAIT);
        prop_assert_eq!(queue.waiting(), 0);
    }
}
