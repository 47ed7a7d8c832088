//! Tests of the retry budget.

use std::time::Duration;

use proptest::prelude::*;
use teaselglade_core::id::{RequestId, ServerKey};
use teaselglade_core::port::{AttemptError, EngineEvent};
use teaselglade_core::time::Timestamp;
use teaselglade_core::verdict::SendProgress;
use teaselglade_request::retry::{BudgetLimits, RetryBudget, RetryCost, RetryDecision};
use teaselglade_request::stream::{
    StreamAction, StreamEvent, StreamLimits, StreamMachine, StreamRequest,
};

const FLEET_HOSTS: u64 = 390;
const FLEET_REQUESTS_PER_SECOND: u64 = 520;
const FAULT_SECONDS: u64 = 30;
const MOST_LOAD_FACTOR: f64 = 1.2;

fn is_granted(decision: RetryDecision) -> bool {
    matches!(decision, RetryDecision::Granted { .. })
}

fn fault_load_factor(limits: BudgetLimits) -> f64 {
    let budgets = (0..FLEET_HOSTS).map(|seed| RetryBudget::new(limits, seed));
    let mut budgets = budgets.collect::<Vec<_>>();
    let firsts = FLEET_REQUESTS_PER_SECOND * FAULT_SECONDS;
    let mut attempts = firsts;
    for request in 0..firsts {
        let now = Timestamp::from_millis(request * 1_000 / FLEET_REQUESTS_PER_SECOND);
        let budget = &mut budgets[(request % FLEET_HOSTS) as usize];
        budget.record_first();
        let deadline = now + Duration::from_mins(1);
        let retries = (1..=3)
            .take_while(|retry| is_granted(budget.ask(now, deadline, *retry, RetryCost::FULL)));
        attempts += retries.count() as u64;
    }
    attempts as f64 / firsts as f64
}

#[test]
fn fleet_wide_fault_stays_below_the_load_factor() {
    let factor = fault_load_factor(BudgetLimits::default());
    assert!(factor <= MOST_LOAD_FACTOR, "load factor {factor}");
}

#[test]
fn fleet_wide_fault_breaks_the_load_factor_without_a_budget() {
    let unlimited = BudgetLimits {
        ratio: 3.0,
        reserve: 1e9,
        ..BudgetLimits::default()
    };
    let factor = fault_load_factor(unlimited);
    assert!(factor > MOST_LOAD_FACTOR, "load factor {factor}");
}

proptest! {
    #[test]
    fn repeated_work_never_exceeds_ratio_and_reserve(
        steps in prop::collection::vec(
            (any::<bool>(), 1_u32..40, 0_u64..100, 0_u64..1_200),
            1..400,
        ),
        seed in any::<u64>(),
    ) {
        let limits = BudgetLimits::default();
        let mut budget = RetryBudget::new(limits, seed);
        let mut firsts = 0_u32;
        let mut retries = 0_u32;
        let mut work = 0.0;
        for (is_first, retry, deadline_ms, repeated) in steps {
            if is_first {
                budget.record_first();
                firsts += 1;
                continue;
            }
            let deadline = Timestamp::from_millis(deadline_ms);
            let cost = RetryCost::of_work(repeated, 1_000);
            let decision = budget.ask(Timestamp::ZERO, deadline, retry, cost);
            if let RetryDecision::Granted { delay } = decision {
                prop_assert!(Timestamp::ZERO + delay < deadline);
                prop_assert!(delay <= limits.longest_delay);
                retries += 1;
                work += cost.as_f64();
            }
        }
        let most = f64::from(firsts) * limits.ratio + limits.reserve;
        prop_assert!(work <= most + 1e-6);
        prop_assert_eq!(budget.granted(), u64::from(retries));
    }

    #[test]
    fn denial_says_when_to_come_back(seed in any::<u64>()) {
        let limits = BudgetLimits { reserve: 0.0, ..BudgetLimits::default() };
        let mut budget = RetryBudget::new(limits, seed);
        let decision = budget.ask(Timestamp::ZERO, Timestamp::from_millis(9_000), 1, RetryCost::FULL);
        let RetryDecision::Denied { retry_after } = decision else {
            return Err(TestCaseError::fail("granted without a budget"));
        };
        prop_assert!(retry_after >= limits.come_back);
    }
}

/// Returns the cost of the retry behind an attempt that broke after `tokens` tokens.
fn cost_after(tokens: u32) -> RetryCost {
    let request = StreamRequest {
        id: RequestId::from_bits(7),
        organisation: "corrib".to_owned(),
        service: "draft-fleet".to_owned(),
        prompt: "assess the ring".to_owned(),
        max_tokens: 100,
        adapter: None,
        priority: 0,
        deadline: Timestamp::from_millis(60_000),
    };
    let now = Timestamp::ZERO;
    let mut machine = StreamMachine::new(request, StreamLimits::default());
    let admitted = machine.on_event(now, StreamEvent::Admitted { prefer: None });
    let StreamAction::Place { ticket, .. } = admitted[0] else {
        panic!("{admitted:?}");
    };
    let server = ServerKey::new(3);
    let placed = machine.on_event(now, StreamEvent::Placed { ticket, server });
    let attempt = placed.iter().find_map(|action| match action {
        StreamAction::Dispatch { call, .. } => Some(call.attempt),
        _ => None,
    });
    let attempt = attempt.expect("the first attempt");
    for index in 0..tokens {
        let text = "t".to_owned();
        let token = EngineEvent::Token {
            attempt,
            index,
            text,
        };
        machine.on_event(now, StreamEvent::Frame(token));
    }
    let error = AttemptError::new(SendProgress::MaybeSent, "broken");
    let actions = machine.on_event(now, StreamEvent::AttemptFailed { attempt, error });
    let cost = actions.iter().find_map(|action| match action {
        StreamAction::AskRetry { cost, .. } => Some(*cost),
        _ => None,
    });
    cost.expect("the machine asks for a retry")
}

#[test]
fn retry_behind_an_attempt_without_a_token_costs_all() {
    assert_eq!(cost_after(0), RetryCost::FULL);
}

#[test]
fn retry_that_goes_on_costs_what_it_computes_again() {
    // Three prompt tokens and the delivered ones, of three and four times a hundred.
    assert_eq!(cost_after(60), RetryCost::of_work(63, 403));
    assert_eq!(cost_after(5), RetryCost::of_work(0, 403));
}
