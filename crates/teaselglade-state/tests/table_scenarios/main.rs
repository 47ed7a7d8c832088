//! Scripted scenarios of the table, compared with snapshots.

#[path = "../table/fake_log.rs"]
mod fake_log;
mod table_runner;

use std::path::Path;

use teaselglade_scenario::parse_scenario;

use table_runner::TableRunner;

fn run_scenario(path: &Path) -> datatest_stable::Result<()> {
    let text = std::fs::read_to_string(path)?;
    let mut runner = TableRunner::default();
    for step in parse_scenario(&text)? {
        runner.perform(&step)?;
    }
    let name = path.file_stem().ok_or("the scenario file has no name")?;
    let mut settings = insta::Settings::clone_current();
    settings.set_prepend_module_to_snapshot(false);
    settings.set_snapshot_path("../scenarios/table/snapshots");
    settings.bind(|| insta::assert_snapshot!(name.to_string_lossy().as_ref(), runner.trace()));
    Ok(())
}

datatest_stable::harness! {
    { test = run_scenario, root = "tests/scenarios/table", pattern = r".*\.scenario$" },
}
