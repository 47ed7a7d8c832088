//! Property tests of streams under arbitrary interleavings of failures.

use std::time::Duration;

use proptest::prelude::*;
use teaselglade_core::verdict::ExecutionVerdict;

use teaselglade_request::retry::BudgetLimits;

use crate::support::{Fault, Outcome, World, WorldSetup};

/// Departures that are announced need no retry budget.
const NO_RETRIES: BudgetLimits = BudgetLimits {
    ratio: 0.0,
    reserve: 0.0,
    initial_backoff: Duration::ZERO,
    max_backoff: Duration::ZERO,
    min_retry_after: Duration::from_secs(1),
};
/// Shortest notice; a shorter one ends before the hosts hear of it.
const LEAST_NOTICE_MS: u64 = 20;
const ENGINES: usize = 4;
const HOSTS: usize = 3;
const CALLERS: usize = 3;
/// Longest time after a notice in which a leaving server gets new work.
const LEAVE_TARGET: Duration = Duration::from_secs(3);

fn announced_fault() -> impl Strategy<Value = Fault> {
    // One engine and one entry host stay.
    let engine = 1..ENGINES;
    let host = 0..HOSTS - 1;
    prop_oneof![
        4 => (engine, LEAST_NOTICE_MS..4_000).prop_map(|(engine, notice_ms)| Fault::Leave { engine, notice_ms }),
        1 => (0..ENGINES).prop_map(|engine| Fault::RefuseKv { engine }),
        1 => (0..ENGINES).prop_map(|engine| Fault::Duplicate { engine }),
        1 => (0..ENGINES).prop_map(|engine| Fault::Misroute { engine }),
        2 => (host, 500_u64..4_000).prop_map(|(host, notice_ms)| Fault::HostLeave { host, notice_ms }),
        1 => (0..HOSTS, 1_u32..3).prop_map(|(host, count)| Fault::LoseReplies { host, count }),
        2 => (0..CALLERS).prop_map(|caller| Fault::DropCaller { caller }),
    ]
}

fn any_fault() -> impl Strategy<Value = Fault> {
    let engine = 0..ENGINES;
    let host = 0..HOSTS;
    prop_oneof![
        4 => announced_fault(),
        1 => (engine.clone(), 0_u64..4_000).prop_map(|(engine, notice_ms)| Fault::Leave { engine, notice_ms }),
        1 => (host.clone(), 0_u64..4_000).prop_map(|(host, notice_ms)| Fault::HostLeave { host, notice_ms }),
        2 => engine.clone().prop_map(|engine| Fault::Kill { engine }),
        2 => engine.clone().prop_map(|engine| Fault::Back { engine }),
        2 => engine.clone().prop_map(|engine| Fault::Freeze { engine }),
        2 => engine.clone().prop_map(|engine| Fault::Thaw { engine }),
        2 => engine.clone().prop_map(|engine| Fault::Silence { engine }),
        2 => engine.clone().prop_map(|engine| Fault::Cut { engine }),
        2 => engine.clone().prop_map(|engine| Fault::Lose { engine }),
        2 => engine.prop_map(|engine| Fault::Delay { engine }),
        1 => host.clone().prop_map(|host| Fault::HostCrash { host }),
        1 => (host, 0_u64..8_000).prop_map(|(host, pause_ms)| Fault::HostPause { host, pause_ms }),
    ]
}

/// Failures of one server without any notice.
fn one_server_fault() -> impl Strategy<Value = Fault> {
    let engine = 0;
    prop_oneof![
        Just(Fault::Kill { engine }),
        Just(Fault::Freeze { engine }),
        Just(Fault::Thaw { engine }),
        Just(Fault::Silence { engine }),
        Just(Fault::Cut { engine }),
        Just(Fault::Lose { engine }),
        Just(Fault::Delay { engine }),
        Just(Fault::Duplicate { engine }),
        (0..CALLERS).prop_map(|caller| Fault::DropCaller { caller }),
    ]
}

fn plan(fault: impl Strategy<Value = Fault>) -> impl Strategy<Value = Vec<(u64, Fault)>> {
    prop::collection::vec((0_u64..3_000, fault), 0..14)
}

fn run_world(seed: u64, faults: &[(u64, Fault)]) -> World {
    let budget = WorldSetup::default().budget;
    run_budgeted_world(seed, faults, budget)
}

fn run_budgeted_world(seed: u64, faults: &[(u64, Fault)], budget: BudgetLimits) -> World {
    let mut world = World::new(&WorldSetup {
        seed,
        budget,
        ..WorldSetup::default()
    });
    for (at_ms, fault) in faults {
        world.plan_fault(Duration::from_millis(*at_ms), *fault);
    }
    world.run();
    world
}

fn check_safety(world: &World) -> Result<(), TestCaseError> {
    for (index, caller) in world.callers.iter().enumerate() {
        prop_assert!(
            caller.complaints.is_empty(),
            "caller {index}: {:?}",
            caller.complaints
        );
        if let Some(Outcome::Refused(_, ExecutionVerdict::NotRun)) = caller.outcome {
            prop_assert_eq!(
                world.executions[index],
                0,
                "caller {} was told it did not run",
                index
            );
        }
    }
    let late_work = world.engines.iter().flat_map(|engine| &engine.late_work);
    let latest = late_work.max().copied().unwrap_or_default();
    prop_assert!(
        latest <= LEAVE_TARGET,
        "new work {latest:?} after the notice"
    );
    Ok(())
}

proptest! {
    #[test]
    fn streams_survive_announced_departures(
        seed in any::<u64>(),
        faults in plan(announced_fault()),
    ) {
        let world = run_budgeted_world(seed, &faults, NO_RETRIES);
        check_safety(&world)?;
        for (index, caller) in world.callers.iter().enumerate() {
            prop_assert_eq!(&caller.outcome, &Some(Outcome::Whole), "caller {}", index);
        }
    }

    #[test]
    fn streams_survive_a_server_that_fails_without_notice(
        seed in any::<u64>(),
        faults in prop::collection::vec((0_u64..3_000, one_server_fault()), 0..4),
    ) {
        let world = run_world(seed, &faults);
        check_safety(&world)?;
        for (index, caller) in world.callers.iter().enumerate() {
            prop_assert_eq!(&caller.outcome, &Some(Outcome::Whole), "caller {}", index);
        }
    }

    #[test]
    fn callers_get_one_true_answer_under_any_faults(
        seed in any::<u64>(),
        faults in plan(any_fault()),
    ) {
        let world = run_world(seed, &faults);
        check_safety(&world)?;
        let is_up = world.has_entry_host();
        for (index, caller) in world.callers.iter().enumerate() {
            prop_assert!(caller.outcome.is_some() || !is_up, "caller {index} waits for ever");
        }
    }
}
