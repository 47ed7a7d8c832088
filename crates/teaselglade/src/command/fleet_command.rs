//! Shows the entry hosts.

use std::fmt::Write as _;

use eyre::Result;

use crate::command_line::HostListOptions;
use crate::operation::{FleetSurvey, HostReport};
use crate::output::{ExitStatus, OutputFormat};

pub(super) async fn run(options: &HostListOptions, format: OutputFormat) -> Result<ExitStatus> {
    let survey = FleetSurvey::take(options.host_list).await?;
    let text = survey_text(&survey)?;
    format.print(&survey, text)?;
    Ok(ExitStatus::Done)
}

fn survey_text(survey: &FleetSurvey) -> Result<String> {
    let mut text = format!(
        "{:<24} {:<12} {:<9} {:>7} {:>7} {:>7} {:>5}\n",
        "host", "zone", "state", "version", "streams", "servers", "peers"
    );
    for host in &survey.hosts {
        writeln!(text, "{}", host_line(host))?;
    }
    match survey.lowest_version {
        Some(version) => write!(text, "lowest version in force: {version}")?,
        None => write!(text, "no entry host answered")?,
    }
    if survey.silent > 0 {
        write!(text, "; {} hosts did not answer", survey.silent)?;
    }
    Ok(text)
}

fn host_line(host: &HostReport) -> String {
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
