//! Required targets on short runs, with a seed that was not used for tuning.

use std::time::Duration;

use teaselglade_bench::{BenchPlan, BenchReport, FleetChoice, PolicyChoice, run_bench};

const SEED: u64 = 6;
/// Maximum cost that users require, relative to the least-load policy.
const MAX_COST_RATIO: f64 = 0.75;

fn run(fleet: FleetChoice, duration: Duration) -> BenchReport {
    let plan = BenchPlan::new(fleet)
        .seeds([SEED])
        .duration(duration)
        .policies([PolicyChoice::LeastLoad, PolicyChoice::Cost]);
    run_bench(&plan)
}

#[test]
fn on_corrib_cost_is_a_quarter_lower_and_no_fewer_requests_are_on_target() {
    let report = run(FleetChoice::Corrib, Duration::from_mins(2));
    let least = report.policy(PolicyChoice::LeastLoad).expect("a report");
    let cost = report.policy(PolicyChoice::Cost).expect("a report");
    assert!(
        cost.cents_per_thousand <= least.cents_per_thousand * MAX_COST_RATIO,
        "{report}"
    );
    assert!(cost.on_target_share >= least.on_target_share, "{report}");
}

#[test]
fn on_dragons_sleeve_at_most_half_as_many_tokens_are_recomputed() {
    let report = run(FleetChoice::DragonsSleeve, Duration::from_mins(10));
    let least = report.policy(PolicyChoice::LeastLoad).expect("a report");
    let cost = report.policy(PolicyChoice::Cost).expect("a report");
    assert!(least.recomputed_tokens > 0, "{report}");
    assert!(
        cost.recomputed_tokens * 2 <= least.recomputed_tokens,
        "{report}"
    );
}

#[test]
fn a_seed_always_gives_the_same_report() {
    let duration = Duration::from_secs(20);
    let reports = [(); 2].map(|()| run(FleetChoice::DragonsSleeve, duration));
    assert_eq!(reports[0], reports[1]);
}

#[test]
fn the_report_is_written_as_json_and_svg() {
    let report = run(FleetChoice::DragonsSleeve, Duration::from_secs(5));
    let json = report.to_json().expect("the report encodes");
    let decoded = serde_json::from_str::<BenchReport>(&json).expect("the report decodes");
    assert_eq!(decoded.policies.len(), 2);
    let plot = report.to_svg().expect("the plot is drawn");
    assert!(plot.starts_with("<svg"));
    assert!(plot.contains("least load"));
}
