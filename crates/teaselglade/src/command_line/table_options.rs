//! Subcommands of `table` and their options.

use std::path::PathBuf;

use clap::{Args, Subcommand};

use super::LogOptions;

/// What to do with the table.
#[derive(Debug, Subcommand)]
pub enum TableCommand {
    /// List every fault of a table.
    Check(TableCheckOptions),
    /// Publish a table; says "accepted" only after reading it back.
    Publish(TablePublishOptions),
    /// Print the table in force.
    Show(TableShowOptions),
    /// List publications, accepted and rejected.
    History(TableHistoryOptions),
}

/// Options of `table check`.
#[derive(Debug, Args)]
pub struct TableCheckOptions {
    /// File of comma-separated values.
    pub file: PathBuf,
}

/// Options of `table publish`.
#[derive(Debug, Args)]
pub struct TablePublishOptions {
    /// File of comma-separated values.
    pub file: PathBuf,
    /// Version that the table was made from; where absent, the version in force now.
    #[arg(long)]
    pub base: Option<u64>,
    /// Who publishes.
    #[arg(long, env = "USER")]
    pub author: String,
    /// Where the log is.
    #[command(flatten)]
    pub log: LogOptions,
}

/// Options of `table show`.
#[derive(Debug, Args)]
pub struct TableShowOptions {
    /// Where the log is.
    #[command(flatten)]
    pub log: LogOptions,
}

/// Options of `table history`.
#[derive(Debug, Args)]
pub struct TableHistoryOptions {
    /// Where the log is.
    #[command(flatten)]
    pub log: LogOptions,
}
