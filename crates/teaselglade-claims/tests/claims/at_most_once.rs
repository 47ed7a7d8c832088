//! Keyed calls under random faults.

use std::time::Duration;

use proptest::prelude::*;
use teaselglade_claims::key::KeyWindow;
use teaselglade_claims::shard::ClaimOptions;

use crate::simulation::{CallPlan, FaultProbabilities, Fleet, Task, check};

const HOSTS: usize = 3;
const SETTLE_TIME: Duration = Duration::from_mins(30);

fn short_window() -> ClaimOptions {
    let window = KeyWindow::default()
        .with_max_age(Duration::from_secs(20))
        .with_max_skew(Duration::from_secs(2));
    ClaimOptions::default()
        .with_window(window)
        .with_max_scan_records(2)
}

/// Returns the shortest log retention that is safe with the short window.
fn min_retention() -> Duration {
    Duration::from_secs(22)
}

fn plans() -> impl Strategy<Value = Vec<(u64, CallPlan)>> {
    let plan = (0..20_000_u64, 0..4_u32, 0..HOSTS, 1..6_u32);
    let plan = plan.prop_map(|(at, key, host, calls)| {
        let plan = CallPlan {
            key,
            host,
            calls,
            body: key,
        };
        (at, plan)
    });
    prop::collection::vec(plan, 1..6)
}

fn faults() -> impl Strategy<Value = Vec<(u64, Task)>> {
    let fault = (0..25_000_u64, 1..30_000_u64, 0..HOSTS, 0..5_u8);
    let fault = fault.prop_map(|(at, duration, host, kind)| match kind {
        0 => vec![(at, Task::Crash(host))],
        1 | 2 => vec![(at, Task::Pause(host)), (at + duration, Task::Resume(host))],
        3 => vec![
            (at, Task::Suspend(host)),
            (at + duration, Task::Resume(host)),
        ],
        _ => vec![
            (at, Task::LogOutage(true)),
            (at + duration, Task::LogOutage(false)),
        ],
    });
    prop::collection::vec(fault, 0..8).prop_map(|faults| faults.concat())
}

fn probabilities() -> impl Strategy<Value = FaultProbabilities> {
    (0.0..0.5, 0.0..0.2, 0.0..0.5, 0.0..0.5).prop_map(|(append, read, attempt, hedge)| {
        FaultProbabilities {
            append,
            read,
            attempt,
            hedge,
        }
    })
}

proptest! {
    #[test]
    fn keyed_calls_run_at_most_once_and_not_run_is_true(
        plans in plans(),
        faults in faults(),
        probabilities in probabilities(),
        skews in prop::array::uniform3(prop_oneof![2 => Just(0_i64), 1 => -400_000..400_000_i64]),
        seed: u64,
    ) {
        let mut fleet = Fleet::new(HOSTS, short_window(), probabilities, seed)
            .with_retention(min_retention());
        for (host, skew) in skews.into_iter().enumerate() {
            fleet.set_skew(host, skew);
        }
        let start = fleet.now;
        for (at, plan) in plans {
            fleet.schedule(start + Duration::from_millis(at), Task::Send(plan));
        }
        for (at, task) in faults {
            fleet.schedule(start + Duration::from_millis(at), task);
        }
        fleet.run_until(start + SETTLE_TIME);
        let breaches = check(&fleet.calls);
        prop_assert!(breaches.is_empty(), "{breaches:?}\n{}", fleet.trace.join("\n"));
    }

    #[test]
    fn without_faults_every_key_runs_exactly_once(plans in plans(), seed: u64) {
        let options = ClaimOptions::default();
        let mut fleet = Fleet::new(HOSTS, options, FaultProbabilities::default(), seed);
        let start = fleet.now;
        for (at, plan) in plans {
            fleet.schedule(start + Duration::from_millis(at), Task::Send(plan));
        }
        fleet.run_until(start + SETTLE_TIME);
        prop_assert_eq!(check(&fleet.calls), Vec::<String>::new());
        let is_answered = |call: &crate::simulation::CallRecord| {
            matches!(call.answered, Some((_, Ok(_))))
        };
        let max_appends = 2 * fleet.calls.len() as u64;
        prop_assert!(fleet.appends() <= max_appends, "{} appends", fleet.appends());
        prop_assert!(fleet.calls.iter().all(is_answered), "{}", fleet.trace.join("\n"));
    }
}
