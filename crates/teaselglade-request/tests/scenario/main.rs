//! Scenario tests of streams in a simulated fleet.

mod step;
#[path = "../support/mod.rs"]
mod support;

use std::path::Path;

use teaselglade_scenario::parse_scenario;

use crate::step::{parse_fault, parse_setup};
use crate::support::{FleetSetup, Outcome, SimulatedFleet};

#[expect(
    clippy::needless_pass_by_value,
    reason = "the test harness passes the text by value"
)]
fn run_scenario(path: &Path, text: String) -> datatest_stable::Result<()> {
    let steps = parse_scenario(&text)?;
    let setup = steps.iter().find(|step| step.verb == "fleet");
    let setup = setup.map_or_else(|| Ok(FleetSetup::default()), parse_setup)?;
    let mut fleet = SimulatedFleet::new(&setup);
    for step in steps.iter().filter(|step| step.verb != "fleet") {
        fleet.schedule_fault(step.at, parse_fault(step)?);
    }
    fleet.run();
    let stem = path.file_stem().unwrap_or_default().to_string_lossy();
    let mut settings = insta::Settings::clone_current();
    settings.set_prepend_module_to_snapshot(false);
    settings.set_omit_expression(true);
    settings.bind(|| insta::assert_snapshot!(stem.as_ref(), report(&fleet)));
    let violations = fleet.callers.iter().flat_map(|caller| &caller.violations);
    match violations.collect::<Vec<_>>().first() {
        Some(violation) => Err(violation.as_str().into()),
        None => Ok(()),
    }
}

fn report(fleet: &SimulatedFleet) -> String {
    let callers = fleet.callers.iter().enumerate().map(|(index, caller)| {
        let outcome = match &caller.outcome {
            Some(Outcome::Complete) => "whole".to_owned(),
            Some(Outcome::Refused(reason, verdict)) => format!("{reason:?}, {verdict:?}"),
            None if fleet.has_entry_host() => "no answer".to_owned(),
            None => "no entry host left".to_owned(),
        };
        format!(
            "caller {index}: {outcome}, {} tokens, {} recomputed, {} connections, {} executions",
            caller.tokens.len(),
            caller.recomputed,
            caller.connection,
            fleet.executions[index],
        )
    });
    let summary = format!(
        "dispatches={} moved_caches={} dropped_frames={} last_answer={}ms",
        fleet.dispatches,
        fleet.moved_caches,
        fleet.dropped_frames,
        fleet.last_response_at.as_millis()
    );
    callers.chain([summary]).collect::<Vec<_>>().join("\n")
}

datatest_stable::harness! {
    { test = run_scenario, root = "tests/scenarios", pattern = r".*\.scenario$" },
}
