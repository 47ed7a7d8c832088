//! Goodput and recovery under overload.

use std::time::Duration;

use super::bench_run::BenchRun;
use crate::plan::{BenchPlan, FleetChoice, PolicyChoice};
use crate::report::SecondTally;
use crate::workload::RUSH;

const DURATION: Duration = Duration::from_mins(4);
const PEAK_SEARCH: [f64; 7] = [8.0, 12.0, 16.0, 20.0, 24.0, 28.0, 32.0];
/// Part of the arrivals that must be on target again for the fleet to count as recovered.
const RECOVERED_SHARE: f64 = 0.95;
/// Load during recovery, relative to the load of the peak.
const NORMAL_LOAD: f64 = 0.5;
/// Width over which the share on target is taken.
const RECOVERY_WINDOW: usize = 3;

teaselglade_core::value_type! {
    /// Goodput and recovery of one policy under overload; goodput is requests on target a second.
    pub struct OverloadReport {
        /// The policy.
        pub policy: PolicyChoice,
        /// Load factor at which the goodput is highest.
        pub peak_load: f64,
        /// Highest goodput.
        pub peak_goodput: f64,
        /// Goodput at twice the load of the peak.
        pub goodput_at_2: f64,
        /// Goodput at four times the load of the peak.
        pub goodput_at_4: f64,
        /// Seconds from the end of a fourfold rush until arrivals are on target again.
        pub recovery_seconds: Option<usize>,
    }
}

/// Measures a policy under overload with one seed, without reclaims and with single turns.
#[must_use]
pub fn run_overload(fleet: FleetChoice, policy: PolicyChoice, seed: u64) -> OverloadReport {
    let goodput = |load: f64| goodput(&plan(fleet, load), policy, seed);
    let search = PEAK_SEARCH.iter().map(|load| (*load, goodput(*load)));
    let (peak_load, peak_goodput) = search
        .max_by(|a, b| a.1.total_cmp(&b.1))
        .unwrap_or((1.0, 0.0));
    OverloadReport {
        policy,
        peak_load,
        peak_goodput,
        goodput_at_2: goodput(peak_load * 2.0),
        goodput_at_4: goodput(peak_load * 4.0),
        recovery_seconds: recovery(fleet, policy, seed, peak_load),
    }
}

fn plan(fleet: FleetChoice, load: f64) -> BenchPlan {
    BenchPlan::new(fleet)
        .duration(DURATION)
        .turns(1)
        .rush_factor(1.0)
        .reclaims(false)
        .load(load)
}

fn goodput(plan: &BenchPlan, policy: PolicyChoice, seed: u64) -> f64 {
    let tally = BenchRun::new(plan, policy, seed).run();
    let half = DURATION.as_secs() as usize / 2;
    let steady = tally.seconds.get(half..).unwrap_or_default();
    let on_target = steady.iter().map(|second| f64::from(second.on_target));
    on_target.sum::<f64>() / steady.len().max(1) as f64
}

fn recovery(fleet: FleetChoice, policy: PolicyChoice, seed: u64, peak_load: f64) -> Option<usize> {
    let plan = plan(fleet, peak_load * NORMAL_LOAD).rush_factor(4.0 / NORMAL_LOAD);
    let tally = BenchRun::new(&plan, policy, seed).run();
    let end = (DURATION.as_secs_f64() * RUSH.1).ceil() as usize;
    let after = tally.seconds.get(end..).unwrap_or_default();
    let windows = after.windows(RECOVERY_WINDOW);
    windows.into_iter().position(is_recovered)
}

fn is_recovered(window: &[SecondTally]) -> bool {
    let offered = window.iter().map(|second| second.offered).sum::<u32>();
    let on_target = window.iter().map(|second| second.on_target).sum::<u32>();
    f64::from(on_target) >= f64::from(offered) * RECOVERED_SHARE
}
