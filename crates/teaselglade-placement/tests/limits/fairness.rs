//! Weighted fairness between organisations.

use proptest::prelude::*;
use teaselglade_core::id::{OrganisationKey, RequestId};
use teaselglade_core::time::Timestamp;
use teaselglade_placement::admission::{AdmissionRequest, FairQueue};

fn request(id: u128, organisation: u16, weight: f64, tokens: f64) -> AdmissionRequest {
    AdmissionRequest {
        request: RequestId::from_bits(id),
        organisation: OrganisationKey::new(organisation),
        weight,
        tokens,
        latest_start: Timestamp::from_millis(1_000),
    }
}

proptest! {
    /// Start-time fair queueing bounds the difference in weighted work between two waiting
    /// organisations by one largest request of each.
    #[test]
    fn service_is_proportional_to_the_weights(
        tokens in prop::collection::vec((1.0..500.0_f64, 1.0..500.0_f64), 20..60),
        weight in 0.1..10.0_f64,
        served in 1..20_usize,
    ) {
        let mut queue = FairQueue::default();
        for (id, (large, small)) in (0..).zip(&tokens) {
            queue.push(request(id * 2, 0, 1.0, *large));
            queue.push(request(id * 2 + 1, 1, weight, *small));
        }
        let mut work = [0.0; 2];
        for _ in 0..served {
            let next = queue.pop().expect("both organisations wait");
            work[next.organisation.index()] += next.tokens / next.weight;
        }
        let bound = 500.0 + 500.0 / weight;
        prop_assert!((work[0] - work[1]).abs() <= bound, "{work:?}");
    }

    #[test]
    fn a_large_organisation_never_starves_a_small_one(backlog in 1..500_u128) {
        let mut queue = FairQueue::default();
        for id in 0..backlog {
            queue.push(request(id, 0, 1.0, 100.0));
        }
        queue.pop();
        queue.push(request(9_999, 1, 1.0, 100.0));
        let next = [queue.pop(), queue.pop()];
        let small = RequestId::from_bits(9_999);
        prop_assert!(next.iter().flatten().any(|next| next.request == small));
    }

    #[test]
    fn no_request_is_lost_or_duplicated(organisations in prop::collection::vec(0..5_u16, 0..80)) {
        let mut queue = FairQueue::default();
        for (id, organisation) in (0..).zip(&organisations) {
            queue.push(request(id, *organisation, 1.0, 10.0));
        }
        let mut popped = std::iter::from_fn(|| queue.pop())
            .map(|next| next.request.to_bits())
            .collect::<Vec<_>>();
        popped.sort_unstable();
        let pushed = (0..organisations.len() as u128).collect::<Vec<_>>();
        prop_assert_eq!(popped, pushed);
        prop_assert!(queue.is_empty());
    }
}
