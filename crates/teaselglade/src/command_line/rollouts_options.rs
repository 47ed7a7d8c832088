//! Options of the `rollouts` command.

use std::net::SocketAddr;

use clap::Args;

/// Options of `rollouts`.
#[derive(Debug, Args)]
pub struct RolloutsOptions {
    /// Address of the host's metrics, such as 10.1.0.14:9464.
    #[arg(long)]
    pub admin: SocketAddr,
}
