//! Measures goodput and recovery under overload.

use std::time::Duration;

use super::bench_run::BenchRun;
use crate::plan::{BenchPlan, FleetChoice, PolicyChoice};
use crate::report::SecondStats;
use crate::workload::RUSH_WINDOW;

const DURATION: Duration = Duration::from_mins(4);
/// Load factors among which the one with the highest goodput is chosen.
const PEAK_SEARCH_LOADS: [f64; 7] = [8.0, 12.0, 16.0, 20.0, 24.0, 28.0, 32.0];
/// Minimum fraction of the arrivals on target for the fleet to count as recovered.
const MIN_RECOVERED_FRACTION: f64 = 0.95;
/// Load outside the rush, relative to the load with the highest goodput.
const RECOVERY_LOAD_FRACTION: f64 = 0.5;
/// Length of the window over which the fraction on target is computed.
const RECOVERY_WINDOW_SECONDS: usize = 3;

teaselglade_core::value_type! {
    /// Goodput and recovery of one policy under overload.
    ///
    /// Goodput is the number of requests on target per second.
    pub struct OverloadReport {
        /// The policy.
        pub policy: PolicyChoice,
        /// Load factor with the highest goodput.
        pub peak_load: f64,
        /// Highest goodput.
        pub peak_goodput: f64,
        /// Goodput at twice [`Self::peak_load`].
        pub goodput_at_2: f64,
        /// Goodput at four times [`Self::peak_load`].
        pub goodput_at_4: f64,
        /// Seconds from the end of a rush at four times [`Self::peak_load`] until recovery.
        pub recovery_seconds: Option<usize>,
    }
}

/// Measures a policy under overload with one seed.
///
/// Runs have no reclaims, and each conversation has a single request.
#[must_use]
pub fn run_overload(fleet: FleetChoice, policy: PolicyChoice, seed: u64) -> OverloadReport {
    let goodput = |load: f64| goodput(&plan(fleet, load), policy, seed);
    let candidates = PEAK_SEARCH_LOADS.iter().map(|load| (*load, goodput(*load)));
    let (peak_load, peak_goodput) = candidates
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
    let stats = BenchRun::new(plan, policy, seed).run();
    let half_seconds = DURATION.as_secs() as usize / 2;
    let steady = stats.seconds.get(half_seconds..).unwrap_or_default();
    let on_target = steady.iter().map(|second| f64::from(second.on_target));
    on_target.sum::<f64>() / steady.len().max(1) as f64
}

fn recovery(fleet: FleetChoice, policy: PolicyChoice, seed: u64, peak_load: f64) -> Option<usize> {
    let plan =
        plan(fleet, peak_load * RECOVERY_LOAD_FRACTION).rush_factor(4.0 / RECOVERY_LOAD_FRACTION);
    let stats = BenchRun::new(&plan, policy, seed).run();
    let rush_end = (DURATION.as_secs_f64() * RUSH_WINDOW.1).ceil() as usize;
    let after_rush = stats.seconds.get(rush_end..).unwrap_or_default();
    let windows = after_rush.windows(RECOVERY_WINDOW_SECONDS);
    windows.into_iter().position(is_recovered)
}

fn is_recovered(window: &[SecondStats]) -> bool {
    let offered = window.iter().map(|second| second.offered).sum::<u32>();
    let on_target = window.iter().map(|second| second.on_target).sum::<u32>();
    f64::from(on_target) >= f64::from(offered) * MIN_RECOVERED_FRACTION
}
