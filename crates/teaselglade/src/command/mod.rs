//! Implementation of the tool's commands.

mod audit_command;
mod bench_command;
mod demo_command;
mod explain_command;
mod fleet_command;
mod quarantine_command;
mod rollouts_command;
mod shell_command;
mod table_command;
mod where_command;

use eyre::Result;

use crate::command_line::{FleetCommand, ToolCommand, ToolOptions};
use crate::output::{ExitStatus, OutputFormat};

/// Runs the command that the options name.
///
/// # Errors
///
/// Returns an error if the platform does not respond, a file cannot be read or written, or an
/// argument is invalid.
pub async fn run_command(tool: ToolOptions) -> Result<ExitStatus> {
    let format = if tool.json {
        OutputFormat::Json
    } else {
        OutputFormat::Human
    };
    match tool.command {
        ToolCommand::Table(command) => table_command::run(command, format).await,
        ToolCommand::Fleet(FleetCommand::Status(options)) => {
            fleet_command::run(&options, format).await
        }
        ToolCommand::Audit(audit) => audit_command::run(audit, format).await,
        ToolCommand::Quarantine(command) => quarantine_command::run(&command, format).await,
        ToolCommand::Explain(explain) => explain_command::run(&explain, format),
        ToolCommand::Where(options) => where_command::run(&options, format).await,
        ToolCommand::Rollouts(options) => rollouts_command::run(&options, format).await,
        ToolCommand::Demo(demo) => demo_command::run(demo, format).await,
        ToolCommand::Bench(bench) => bench_command::run(&bench, format),
        ToolCommand::Completions { shell } => Ok(shell_command::print_completions(shell)),
        ToolCommand::Man => shell_command::print_man(),
    }
}
