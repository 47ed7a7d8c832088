//! Event loop of the simulation.

mod bench_event;
mod bench_run;
mod billing_meter;
mod dispatch_events;
mod engine_events;
mod entry_host_state;
mod event_queue;
mod fleet_events;
mod overload;
mod request_state;
mod server_state;

pub use overload::{OverloadReport, run_overload};

use crate::plan::BenchPlan;
use crate::report::{BenchReport, PolicyReport, PolicyStats};
use bench_run::BenchRun;

/// Runs a plan and returns the results of each policy, summed over the seeds.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use teaselglade_bench::{BenchPlan, FleetChoice, PolicyChoice, run_bench};
///
/// let plan = BenchPlan::new(FleetChoice::DragonsSleeve)
///     .policies([PolicyChoice::LeastLoad])
///     .duration(Duration::from_secs(5));
/// let report = run_bench(&plan);
/// assert_eq!(report.policies.len(), 1);
/// ```
#[must_use]
pub fn run_bench(plan: &BenchPlan) -> BenchReport {
    let policies = plan.policies.iter().map(|policy| {
        let mut stats = PolicyStats::default();
        for seed in &plan.seeds {
            stats.add(&BenchRun::new(plan, *policy, *seed).run());
        }
        PolicyReport::new(*policy, &stats)
    });
    BenchReport {
        plan: plan.clone(),
        policies: policies.collect(),
    }
}
