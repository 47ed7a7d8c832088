//! Options of the `audit` command.

use clap::Args;

use super::LogOptions;

/// Options of `audit`.
#[derive(Debug, Args)]
pub struct AuditOptions {
    /// Only changes by this host or operator.
    #[arg(long)]
    pub actor: Option<String>,
    /// Only changes whose subject contains this text.
    #[arg(long)]
    pub subject: Option<String>,
    /// Only changes of this kind, such as `table_published`.
    #[arg(long)]
    pub action: Option<String>,
    /// Only changes under this fencing number or table version.
    #[arg(long)]
    pub number: Option<u64>,
    /// Only changes from this time on, in milliseconds since the epoch.
    #[arg(long)]
    pub since_ms: Option<u64>,
    /// Only changes before this time, in milliseconds since the epoch.
    #[arg(long)]
    pub until_ms: Option<u64>,
    /// Keep printing changes as they arrive.
    #[arg(long)]
    pub follow: bool,
    /// Where the log is.
    #[command(flatten)]
    pub log: LogOptions,
}
