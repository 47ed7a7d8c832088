//! Options of the `quarantine` command.

use std::net::SocketAddr;

use clap::{Args, Subcommand};

/// What to do with quarantined requests and prompt parts.
#[derive(Debug, Subcommand)]
pub enum QuarantineCommand {
    /// List the requests and prompt parts that a host holds contained or quarantined.
    List(QuarantineHost),
    /// Lift the quarantine of a request or prompt part on all hosts.
    Lift {
        /// Request or part, as `list` prints it.
        subject: String,
        /// Host to tell; it tells the others.
        #[command(flatten)]
        host: QuarantineHost,
    },
}

/// Host whose quarantine is meant.
#[derive(Debug, Clone, Copy, Args)]
pub struct QuarantineHost {
    /// Address at which the serving host takes calls of its peers.
    #[arg(long)]
    pub host: SocketAddr,
}
