//! Tests of the retry budget.

use std::time::Duration;

use proptest::prelude::*;
use teaselglade_core::id::ServerKey;
use teaselglade_core::time::Timestamp;
use teaselglade_request::retry::{BudgetLimits, RetryBudget, RetryDecision};

const FLEET_HOSTS: u64 = 390;
const FLEET_REQUESTS_PER_SECOND: u64 = 520;
const SERVERS: u64 = 1_200;
const FAULT_SECONDS: u64 = 30;
const MAX_LOAD_FACTOR: f64 = 1.2;

fn is_granted(decision: RetryDecision) -> bool {
    matches!(decision, RetryDecision::Granted { .. })
}

fn fault_load_factor(limits: BudgetLimits) -> f64 {
    let budgets = (0..FLEET_HOSTS).map(|seed| RetryBudget::new(limits, seed));
    let mut budgets = budgets.collect::<Vec<_>>();
    for budget in &mut budgets {
        budget.record_progress(Timestamp::ZERO, ServerKey::new(0));
        budget.record_progress(Timestamp::ZERO, ServerKey::new(1));
    }
    let first_attempts = FLEET_REQUESTS_PER_SECOND * FAULT_SECONDS;
    let mut attempts = first_attempts;
    for request in 0..first_attempts {
        let now = Timestamp::from_millis(request * 1_000 / FLEET_REQUESTS_PER_SECOND);
        let budget = &mut budgets[(request % FLEET_HOSTS) as usize];
        budget.record_first_attempt();
        let deadline = now + Duration::from_mins(1);
        // Each retry fails at a different server, whose attempts made progress until the fault.
        let lost = |retry| ServerKey::new(((request * 7 + u64::from(retry)) % SERVERS) as u32);
        let retries = (1..=3).take_while(|retry| {
            is_granted(budget.request_retry_after_loss(now, deadline, *retry, lost(*retry)))
        });
        attempts += retries.count() as u64;
    }
    attempts as f64 / first_attempts as f64
}

#[test]
fn fleet_wide_fault_stays_below_the_load_factor() {
    let factor = fault_load_factor(BudgetLimits::default());
    assert!(factor <= MAX_LOAD_FACTOR, "load factor {factor}");
}

#[test]
fn fleet_wide_fault_breaks_the_load_factor_without_a_budget() {
    let unlimited = BudgetLimits {
        ratio: 3.0,
        reserve: 1e9,
        ..BudgetLimits::default()
    };
    let factor = fault_load_factor(unlimited);
    assert!(factor > MAX_LOAD_FACTOR, "load factor {factor}");
}

#[test]
fn fault_of_one_server_spends_no_budget() {
    let limits = BudgetLimits {
        ratio: 0.0,
        reserve: 0.0,
        ..BudgetLimits::default()
    };
    let mut budget = RetryBudget::new(limits, 7);
    let now = Timestamp::from_millis(20_000);
    let deadline = now + Duration::from_mins(1);
    let [frozen, other] = [1, 2].map(ServerKey::new);
    budget.record_progress(now, frozen);
    assert!(!is_granted(
        budget.request_retry_after_loss(now, deadline, 1, frozen)
    ));
    budget.record_progress(now, other);
    assert!((0..20).all(|_| is_granted(budget.request_retry_after_loss(now, deadline, 1, frozen))));
    assert!(!is_granted(
        budget.request_retry_after_loss(now, deadline, 1, other)
    ));
    assert!(!is_granted(
        budget.request_retry_after_loss(now, deadline, 1, frozen)
    ));
}

proptest! {
    #[test]
    fn retries_never_exceed_ratio_and_reserve(
        steps in prop::collection::vec((any::<bool>(), 1_u32..40, 0_u64..100), 1..400),
        seed in any::<u64>(),
    ) {
        let limits = BudgetLimits::default();
        let mut budget = RetryBudget::new(limits, seed);
        let mut first_attempts = 0_u32;
        let mut retries = 0_u32;
        for (is_first, retry, deadline_ms) in steps {
            if is_first {
                budget.record_first_attempt();
                first_attempts += 1;
                continue;
            }
            let deadline = Timestamp::from_millis(deadline_ms);
            if let RetryDecision::Granted { delay } =
                budget.request_retry(Timestamp::ZERO, deadline, retry)
            {
                prop_assert!(Timestamp::ZERO + delay < deadline);
                prop_assert!(delay <= limits.max_backoff);
                retries += 1;
            }
        }
        let max_retries = f64::from(first_attempts) * limits.ratio + limits.reserve;
        prop_assert!(f64::from(retries) <= max_retries + 1e-6);
        prop_assert_eq!(budget.granted(), u64::from(retries));
    }

    #[test]
    fn a_denied_retry_has_a_retry_delay(seed in any::<u64>()) {
        let limits = BudgetLimits { reserve: 0.0, ..BudgetLimits::default() };
        let mut budget = RetryBudget::new(limits, seed);
        let decision = budget.request_retry(Timestamp::ZERO, Timestamp::from_millis(9_000), 1);
        let RetryDecision::Denied { retry_after } = decision else {
            return Err(TestCaseError::fail("granted without a budget"));
        };
        prop_assert!(retry_after >= limits.min_retry_after);
    }
}
