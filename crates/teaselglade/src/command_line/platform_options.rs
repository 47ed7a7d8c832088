//! Addresses of the platform's services.

use std::net::SocketAddr;

use clap::Args;

/// Where the log is.
#[derive(Debug, Clone, Args)]
pub struct LogOptions {
    /// Address of the platform's log.
    #[arg(long, env = "TEASELGLADE_LOG")]
    pub log: SocketAddr,
    /// Name of the cluster.
    #[arg(long, env = "TEASELGLADE_CLUSTER")]
    pub cluster: String,
}

/// Where the host list is.
#[derive(Debug, Clone, Args)]
pub struct HostListOptions {
    /// Address of the platform's host list.
    #[arg(long, env = "TEASELGLADE_HOST_LIST")]
    pub host_list: SocketAddr,
}
