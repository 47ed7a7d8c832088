//! `demo`: runs the demo.

use eyre::{Result, eyre};
use teaselglade_standins::fleet::FleetPlan;

use crate::command_line::DemoOptions;
use crate::demo::{DemoPlan, run_demo};
use crate::output::{ExitStatus, OutputFormat};

pub(super) async fn run(options: DemoOptions, format: OutputFormat) -> Result<ExitStatus> {
    let fleet = FleetPlan::from_name(&options.fleet);
    let plan = DemoPlan {
        fleet: fleet.ok_or_else(|| {
            eyre!(
                "unknown fleet `{}`; expected `corrib` or `dragons-sleeve`",
                options.fleet
            )
        })?,
        duration: std::time::Duration::from_secs(options.seconds),
        seed: options.seed,
        rate: options.rate,
        entries: options.entries.max(1),
        show_progress: format == OutputFormat::Human,
    };
    let summary = run_demo(plan).await?;
    format.print(&summary, &summary)?;
    Ok(if summary.guarantees_held() {
        ExitStatus::Success
    } else {
        ExitStatus::GuaranteeViolated
    })
}
