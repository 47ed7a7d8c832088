//! `quarantine`: lists and lifts quarantined requests and prompt parts on a serving host.

use std::fmt::Write as _;
use std::net::SocketAddr;

use eyre::{Result, WrapErr, bail, eyre};
use hyper::Method;
use teaselglade_host::peer::QUARANTINE_PATH;
use teaselglade_net::client::{HttpClient, HttpRequest};
use teaselglade_routing::crash::SubjectReport;

use crate::command_line::QuarantineCommand;
use crate::output::{ExitStatus, OutputFormat};

const BAD_REQUEST: u16 = 400;
const NOT_FOUND: u16 = 404;

pub(super) async fn run(command: &QuarantineCommand, format: OutputFormat) -> Result<ExitStatus> {
    match command {
        QuarantineCommand::List(options) => list(options.host, format).await,
        QuarantineCommand::Lift { subject, host } => lift(host.host, subject).await,
    }
}

async fn list(host: SocketAddr, format: OutputFormat) -> Result<ExitStatus> {
    let response = HttpClient::default()
        .call(HttpRequest::get(host, QUARANTINE_PATH))
        .await
        .map_err(|error| eyre!("no answer of host `{host}`: {error}"))?;
    if !response.is_success() {
        bail!("host `{host}` answered {}, expected 200", response.status);
    }
    let reports: Vec<SubjectReport> = serde_json::from_slice(&response.body)
        .wrap_err_with(|| format!("cannot read the answer of host `{host}`"))?;
    format.print(&reports, format_reports(&reports)?)?;
    Ok(ExitStatus::Success)
}

async fn lift(host: SocketAddr, subject: &str) -> Result<ExitStatus> {
    let request = HttpRequest::new(Method::DELETE, host, format!("{QUARANTINE_PATH}/{subject}"));
    let response = HttpClient::default()
        .call(request)
        .await
        .map_err(|error| eyre!("no answer of host `{host}`: {error}"))?;
    match response.status {
        _ if response.is_success() => {
            println!("lifted {subject}; other hosts follow within seconds");
            Ok(ExitStatus::Success)
        }
        NOT_FOUND => {
            eprintln!("no server ended on `{subject}` as far as host `{host}` knows");
            Ok(ExitStatus::Failed)
        }
        BAD_REQUEST => {
            eprintln!(
                "`{subject}` is neither a part's id in hexadecimal nor a request's, as `list` prints them"
            );
            Ok(ExitStatus::InvalidInput)
        }
        status => bail!("host `{host}` answered {status}, expected 204"),
    }
}

fn format_reports(reports: &[SubjectReport]) -> Result<String> {
    let mut text = format!(
        "{:<40} {:<12} {:>5} {:>7} {:>12} {:>12}",
        "request or part", "standing", "ends", "trials", "first end", "last request"
    );
    for report in reports {
        write!(
            text,
            "\n{:<40} {:<12} {:>5} {:>7} {:>10} s {:>10} s",
            report.subject,
            report.standing.name(),
            report.ends,
            report.trials,
            report.first_end_age_ms / 1_000,
            report.request_age_ms / 1_000
        )?;
    }
    Ok(text)
}
