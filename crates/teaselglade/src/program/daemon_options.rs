//! Command line of a daemon.

use std::path::PathBuf;

use clap::{CommandFactory, FromArgMatches, Parser};

/// Command line of a daemon.
#[derive(Debug, Parser)]
#[command(version)]
pub(super) struct DaemonOptions {
    /// Settings file, in JSON with comments.
    #[arg(long)]
    pub(super) config: PathBuf,
    /// Only check the settings file.
    #[arg(long)]
    pub(super) check: bool,
}

impl DaemonOptions {
    /// Parses the process's arguments; exits the process if they are invalid.
    pub(super) fn parse_args(name: &'static str, about: &'static str) -> Self {
        let command = Self::command().name(name).about(about);
        let matches = command.get_matches();
        Self::from_arg_matches(&matches).unwrap_or_else(|error| error.exit())
    }
}
