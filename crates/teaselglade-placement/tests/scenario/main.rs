//! Runs each scenario and compares its trace with a snapshot.

mod scenario_runner;

use std::path::Path;

use scenario_runner::ScenarioRunner;
use teaselglade_scenario::parse_scenario;

datatest_stable::harness! {
    { test = run_scenario, root = "tests/scenarios", pattern = r"\.scenario$" },
}

fn run_scenario(path: &Path) -> datatest_stable::Result<()> {
    let text = std::fs::read_to_string(path)?;
    let steps = parse_scenario(&text).map_err(|error| error.to_string())?;
    let mut runner = ScenarioRunner::default();
    for step in &steps {
        runner.run_step(step).map_err(|error| error.to_string())?;
    }
    let name = path.file_stem().unwrap_or_default().to_string_lossy();
    let mut settings = insta::Settings::clone_current();
    settings.set_snapshot_path("../scenarios");
    settings.set_prepend_module_to_snapshot(false);
    settings.set_omit_expression(true);
    settings.bind(|| insta::assert_snapshot!(name.as_ref(), runner.trace()));
    Ok(())
}
