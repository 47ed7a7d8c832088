//! Scripted scenarios of streams.

mod step;
#[path = "../support/mod.rs"]
mod support;

use std::path::Path;

use teaselglade_scenario::parse_scenario;

use crate::step::{fault_of, setup_of};
use crate::support::{Outcome, World, WorldSetup};

#[expect(
    clippy::needless_pass_by_value,
    reason = "the harness gives the text away"
)]
fn run_scenario(path: &Path, text: String) -> datatest_stable::Result<()> {
    let steps = parse_scenario(&text)?;
    let setup = steps.iter().find(|step| step.verb == "fleet");
    let setup = setup.map_or_else(|| Ok(WorldSetup::default()), setup_of)?;
    let mut world = World::new(&setup);
    for step in steps.iter().filter(|step| step.verb != "fleet") {
        world.plan_fault(step.at, fault_of(step)?);
    }
    world.run();
    let stem = path.file_stem().unwrap_or_default().to_string_lossy();
    let mut settings = insta::Settings::clone_current();
    settings.set_prepend_module_to_snapshot(false);
    settings.set_omit_expression(true);
    settings.bind(|| insta::assert_snapshot!(stem.as_ref(), report(&world)));
    let complaints = world.callers.iter().flat_map(|caller| &caller.complaints);
    match complaints.collect::<Vec<_>>().first() {
        Some(complaint) => Err(complaint.as_str().into()),
        None => Ok(()),
    }
}

fn report(world: &World) -> String {
    let callers = world.callers.iter().enumerate().map(|(index, caller)| {
        let outcome = match &caller.outcome {
            Some(Outcome::Whole) => "whole".to_owned(),
            Some(Outcome::Refused(reason, verdict)) => format!("{reason:?}, {verdict:?}"),
            None if world.has_entry_host() => "no answer".to_owned(),
            None => "no entry host left".to_owned(),
        };
        format!(
            "caller {index}: {outcome}, {} tokens, {} recomputed, {} connections, {} executions",
            caller.tokens.len(),
            caller.recomputed,
            caller.connection,
            world.executions[index],
        )
    });
    let fleet = format!(
        "dispatches={} moved_caches={} dropped_frames={} last_answer={}ms",
        world.dispatches,
        world.moves,
        world.dropped_frames,
        world.last_answer.as_millis()
    );
    callers.chain([fleet]).collect::<Vec<_>>().join("\n")
}

datatest_stable::harness! {
    { test = run_scenario, root = "tests/scenarios", pattern = r".*\.scenario$" },
}
