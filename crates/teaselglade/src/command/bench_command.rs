//! `bench`: compares placement policies.

use std::fs;
use std::time::Duration;

use eyre::{Result, WrapErr, eyre};
use teaselglade_bench::{BenchPlan, FleetChoice, run_bench};

use crate::command_line::BenchOptions;
use crate::output::{ExitStatus, OutputFormat};

pub(super) fn run(options: &BenchOptions, format: OutputFormat) -> Result<ExitStatus> {
    let fleet = match options.fleet.as_str() {
        "corrib" => FleetChoice::Corrib,
        "dragons-sleeve" => FleetChoice::DragonsSleeve,
        other => {
            return Err(eyre!(
                "unknown fleet `{other}`; expected `corrib` or `dragons-sleeve`"
            ));
        }
    };
    let plan = BenchPlan::new(fleet)
        .seeds(options.seeds.clone())
        .duration(Duration::from_secs(options.seconds))
        .load(options.load);
    let report = run_bench(&plan);
    if let Some(path) = &options.svg {
        let plot = report
            .to_svg()
            .map_err(|error| eyre!("cannot draw the plot: {error}"))?;
        fs::write(path, plot).wrap_err_with(|| format!("cannot write `{}`", path.display()))?;
    }
    format.print(&report, &report)?;
    Ok(ExitStatus::Success)
}
