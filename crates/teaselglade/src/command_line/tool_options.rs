//! Global options and commands of the tool.

use clap::{Parser, Subcommand};
use clap_complete::Shell;

use super::{
    AuditOptions, BenchOptions, DemoOptions, ExplainOptions, HostListOptions, QuarantineCommand,
    RolloutsOptions, TableCommand, WhereOptions,
};

/// Operators' tool of teaselglade.
///
/// Exit codes: 0 done; 1 the call failed; 2 the command line or the table is faulty; 3 the log
/// decided against the publication; 4 it is not known yet whether the publication is accepted; 5 a
/// promise did not hold in the demo; 6 the request of `where` would be refused now; 7 `rollouts`
/// shows a version that was rolled back.
#[derive(Debug, Parser)]
#[command(name = "teaselglade", version)]
pub struct ToolOptions {
    /// Print JSON for programs.
    #[arg(long, global = true)]
    pub json: bool,
    /// What to do.
    #[command(subcommand)]
    pub command: ToolCommand,
}

/// What the tool does.
#[derive(Debug, Subcommand)]
pub enum ToolCommand {
    /// Check, publish and show the table.
    #[command(subcommand)]
    Table(TableCommand),
    /// Show the entry hosts.
    #[command(subcommand)]
    Fleet(FleetCommand),
    /// Show who changed what.
    Audit(AuditOptions),
    /// List and lift quarantined prompt parts of a serving host.
    #[command(subcommand)]
    Quarantine(QuarantineCommand),
    /// Tell from log lines of hosts what happened to one request.
    Explain(ExplainOptions),
    /// Tell where a request would go now, and why, without sending it.
    Where(WhereOptions),
    /// Tell how the roll-outs of versions stand that a host knows, and why.
    Rollouts(RolloutsOptions),
    /// Run a whole fleet in this process, with a zone reclaimed midway.
    Demo(DemoOptions),
    /// Compare placement policies on virtual time.
    Bench(BenchOptions),
    /// Print shell completions.
    Completions {
        /// Shell to complete for.
        shell: Shell,
    },
    /// Print the man page.
    Man,
}

/// What to show of the entry hosts.
#[derive(Debug, Subcommand)]
pub enum FleetCommand {
    /// Show each entry host's status and the lowest table version in force.
    Status(HostListOptions),
}
