//! `fleet status`: prints the status of the entry hosts.

use std::fmt::Write as _;

use eyre::Result;

use crate::command_line::HostListOptions;
use crate::operation::{FleetStatus, HostReport};
use crate::output::{ExitStatus, OutputFormat};

pub(super) async fn run(options: &HostListOptions, format: OutputFormat) -> Result<ExitStatus> {
    let fleet = FleetStatus::fetch(options.host_list).await?;
    let text = format_fleet(&fleet)?;
    format.print(&fleet, text)?;
    Ok(ExitStatus::Success)
}

fn format_fleet(fleet: &FleetStatus) -> Result<String> {
    let mut text = format!(
        "{:<24} {:<12} {:<9} {:>7} {:>7} {:>7} {:>5}\n",
        "host", "zone", "state", "version", "streams", "servers", "peers"
    );
    for host in &fleet.hosts {
        writeln!(text, "{}", format_host(host))?;
    }
    match fleet.lowest_version {
        Some(version) => write!(text, "lowest version in force: {version}")?,
        None => write!(text, "no entry host answered")?,
    }
    if fleet.silent > 0 {
        write!(text, "; {} hosts did not answer", fleet.silent)?;
    }
    Ok(text)
}

fn format_host(host: &HostReport) -> String {
    let Some(status) = &host.status else {
        return format!("{:<24} {:<12} no answer", host.host, host.zone);
    };
    let state = match (status.draining, status.ready) {
        (true, _) => "draining",
        (false, true) => "ready",
        (false, false) => "not ready",
    };
    format!(
        "{:<24} {:<12} {:<9} {:>7} {:>7} {:>7} {:>5}",
        host.host,
        host.zone,
        state,
        status.table_version,
        status.streams,
        status.servers,
        status.peers
    )
}
