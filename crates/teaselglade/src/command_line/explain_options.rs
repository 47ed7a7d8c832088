//! Options of the `explain` command.

use std::path::PathBuf;

use clap::Args;

/// Options of `explain`.
#[derive(Debug, Args)]
pub struct ExplainOptions {
    /// Id of the request, as its caller sent it.
    pub id: String,
    /// Files with log lines of hosts, one file a host; standard input where none are named.
    pub files: Vec<PathBuf>,
}
