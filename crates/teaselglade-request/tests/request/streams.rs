//! Property tests of streams under arbitrary sequences of failures.

use std::time::Duration;

use proptest::prelude::*;
use teaselglade_core::verdict::ExecutionVerdict;

use teaselglade_request::retry::BudgetLimits;

use crate::support::{Fault, FleetSetup, Outcome, SimulatedFleet};

/// Budget without retries, since announced departures must need none.
const NO_RETRIES: BudgetLimits = BudgetLimits {
    ratio: 0.0,
    reserve: 0.0,
    initial_backoff: Duration::ZERO,
    max_backoff: Duration::ZERO,
    min_retry_after: Duration::from_secs(1),
};
/// Minimum notice; a shorter one ends before the entry hosts receive it.
const MIN_NOTICE_MS: u64 = 20;
const ENGINES: usize = 4;
const HOSTS: usize = 3;
const CALLERS: usize = 3;
/// Maximum time after a notice in which a leaving server receives new work.
const MAX_WORK_AFTER_NOTICE: Duration = Duration::from_secs(3);

fn announced_fault() -> impl Strategy<Value = Fault> {
    // One engine and one entry host never leave, so that every stream can be continued.
    let engine = 1..ENGINES;
    let host = 0..HOSTS - 1;
    prop_oneof![
        4 => (engine, MIN_NOTICE_MS..4_000).prop_map(|(engine, notice_ms)| Fault::Leave { engine, notice_ms }),
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
        2 => engine.clone().prop_map(|engine| Fault::Replace { engine }),
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

/// Generates faults of one server without notice.
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

fn fault_schedule(fault: impl Strategy<Value = Fault>) -> impl Strategy<Value = Vec<(u64, Fault)>> {
    prop::collection::vec((0_u64..3_000, fault), 0..14)
}

fn run_fleet(seed: u64, faults: &[(u64, Fault)]) -> SimulatedFleet {
    let budget = FleetSetup::default().budget;
    run_fleet_with_budget(seed, faults, budget)
}

fn run_fleet_with_budget(
    seed: u64,
    faults: &[(u64, Fault)],
    budget: BudgetLimits,
) -> SimulatedFleet {
    let mut fleet = SimulatedFleet::new(&FleetSetup {
        seed,
        budget,
        ..FleetSetup::default()
    });
    for (at_ms, fault) in faults {
        fleet.schedule_fault(Duration::from_millis(*at_ms), *fault);
    }
    fleet.run();
    fleet
}

fn check_safety(fleet: &SimulatedFleet) -> Result<(), TestCaseError> {
    for (index, caller) in fleet.callers.iter().enumerate() {
        prop_assert!(
            caller.violations.is_empty(),
            "caller {index}: {:?}",
            caller.violations
        );
        if let Some(Outcome::Refused(_, ExecutionVerdict::NotRun)) = caller.outcome {
            prop_assert_eq!(
                fleet.executions[index],
                0,
                "caller {} got a not-run verdict for a request that ran",
                index
            );
        }
    }
    let work_after_notice = fleet
        .engines
        .iter()
        .flat_map(|engine| &engine.work_after_notice);
    let latest = work_after_notice.max().copied().unwrap_or_default();
    prop_assert!(
        latest <= MAX_WORK_AFTER_NOTICE,
        "new work arrived {latest:?} after the notice"
    );
    Ok(())
}

proptest! {
    #[test]
    fn streams_survive_announced_departures(
        seed in any::<u64>(),
        faults in fault_schedule(announced_fault()),
    ) {
        let fleet = run_fleet_with_budget(seed, &faults, NO_RETRIES);
        check_safety(&fleet)?;
        for (index, caller) in fleet.callers.iter().enumerate() {
            prop_assert_eq!(&caller.outcome, &Some(Outcome::Complete), "caller {}", index);
        }
    }

    #[test]
    fn streams_survive_a_server_that_fails_without_notice(
        seed in any::<u64>(),
        faults in prop::collection::vec((0_u64..3_000, one_server_fault()), 0..4),
    ) {
        let fleet = run_fleet(seed, &faults);
        check_safety(&fleet)?;
        for (index, caller) in fleet.callers.iter().enumerate() {
            prop_assert_eq!(&caller.outcome, &Some(Outcome::Complete), "caller {}", index);
        }
    }

    #[test]
    fn callers_get_one_correct_response_under_any_faults(
        seed in any::<u64>(),
        faults in fault_schedule(any_fault()),
    ) {
        let fleet = run_fleet(seed, &faults);
        check_safety(&fleet)?;
        let is_up = fleet.has_entry_host();
        for (index, caller) in fleet.callers.iter().enumerate() {
            prop_assert!(caller.outcome.is_some() || !is_up, "caller {index} got no response");
        }
    }
}
