//! `where`: asks a serving host where a request would go now.

use std::fmt::Write as _;

use eyre::{Result, WrapErr, bail, eyre};
use hyper::Method;
use serde_json::Value;
use teaselglade_host::explain::{
    PLACEMENT_PATH, PartQuery, PlacementQuery, PlacementReport, PromptQuery, ServerOption,
};
use teaselglade_net::client::{HttpClient, HttpRequest};

use crate::command_line::WhereOptions;
use crate::output::{ExitStatus, OutputFormat};

const BAD_REQUEST: u16 = 400;
/// Number of servers printed for people; JSON has all.
const PRINTED_SERVERS: usize = 8;

pub(super) async fn run(options: &WhereOptions, format: OutputFormat) -> Result<ExitStatus> {
    let admin = options.admin;
    let query = serde_json::to_vec(&query(options))?;
    let request = HttpRequest::new(Method::POST, admin, PLACEMENT_PATH).body(query);
    let response = HttpClient::default()
        .call(request)
        .await
        .map_err(|error| eyre!("no answer of host `{admin}`: {error}"))?;
    if !response.is_success() {
        let body: Option<Value> = serde_json::from_slice(&response.body).ok();
        let detail = body.and_then(|body| body["error"].as_str().map(str::to_owned));
        let Some(detail) = detail else {
            bail!("host `{admin}` answered {}, expected 200", response.status);
        };
        if response.status == BAD_REQUEST {
            eprintln!("error: {detail}");
            return Ok(ExitStatus::InvalidInput);
        }
        bail!("host `{admin}` answered {}: {detail}", response.status);
    }
    let report: PlacementReport = serde_json::from_slice(&response.body)
        .wrap_err_with(|| format!("cannot read the answer of host `{admin}`"))?;
    format.print(&report, format_report(&report)?)?;
    Ok(if report.server.is_some() {
        ExitStatus::Success
    } else {
        ExitStatus::NotPlaced
    })
}

fn query(options: &WhereOptions) -> PlacementQuery {
    let parts = options.parts.iter();
    let parts = parts.map(|(id, tokens)| PartQuery {
        id: *id,
        tokens: *tokens,
    });
    PlacementQuery {
        host: options.name.clone(),
        path: options.path.clone(),
        organisation: options.organisation.clone(),
        service: options.service.clone(),
        prompt: options
            .tokens
            .map(|(prompt_tokens, output_tokens)| PromptQuery {
                prompt_tokens,
                output_tokens,
                parts: parts.collect(),
            }),
        body_bytes: options.body_bytes,
    }
}

fn format_report(report: &PlacementReport) -> Result<String> {
    let mut text = match (&report.server, &report.refusal) {
        (Some(server), _) => format!("{server} of {}", report.service),
        (None, refusal) => format!("refused: {}", refusal.as_deref().unwrap_or("no reason")),
    };
    let organisation = report.organisation.as_deref().unwrap_or("none");
    let (zone, ages) = (&report.zone, &report.ages);
    write!(
        text,
        "\nroute {}, organisation {organisation}, rank {}, table {}",
        report.route, report.rank, ages.table_version
    )?;
    if let Some(stage) = &report.rollout {
        write!(text, "\nroll-out of {}: {stage}", report.service)?;
    }
    let wanted = zone.leaves_to.as_deref().unwrap_or(&zone.home);
    write!(
        text,
        "\nzone {}, wanted {wanted}; {:.1} ms for another; {:.3} of the demand leaves",
        zone.home, zone.crossing_ms, zone.outflow_share
    )?;
    write!(
        text,
        "\nage of registrations {} ms, of loads {}, of the zone plan {}",
        ages.registrations_ms,
        format_age(ages.loads_ms),
        format_age(ages.zone_plan_ms)
    )?;
    write!(
        text,
        "\n\n{:<24} {:<16} {:>10} {:>8} {:>10} {:>8} {:>8} {:>6}  notes",
        "server", "zone", "cost", "zone ms", "predicted", "wait ms", "cached", "used"
    )?;
    for option in report.options.iter().take(PRINTED_SERVERS) {
        write!(text, "\n{}", format_option(option))?;
    }
    let hidden = report.options.len().saturating_sub(PRINTED_SERVERS);
    if hidden > 0 {
        write!(text, "\nand {hidden} more; see --json")?;
    }
    for server in &report.left_out {
        let (name, zone) = (&server.server, &server.zone);
        write!(
            text,
            "\n{name:<24} {zone:<16} {} for {} ms",
            server.reason, server.wait_ms
        )?;
    }
    for subject in &report.subjects {
        write!(
            text,
            "\npart {} is {}",
            subject.subject,
            subject.standing.name()
        )?;
    }
    Ok(text)
}

fn format_option(option: &ServerOption) -> String {
    let number = |value: Option<f64>| value.map_or_else(|| "-".to_owned(), |v| format!("{v:.1}"));
    let mut notes = Vec::new();
    if option.is_avoided {
        notes.push("failed lately");
    }
    if option.needs_permit {
        notes.push("limited");
    }
    format!(
        "{:<24} {:<16} {:>10.2} {:>8} {:>10} {:>8} {:>8} {:>6}  {}",
        option.server,
        option.zone,
        option.cost,
        number(option.zone_cost_ms),
        number(option.predicted_ms),
        number(option.wait_ms),
        option
            .cached_tokens
            .map_or_else(|| "-".to_owned(), |tokens| tokens.to_string()),
        option
            .used_share
            .map_or_else(|| "-".to_owned(), |share| format!("{share:.2}")),
        notes.join(", ")
    )
}

fn format_age(age_ms: Option<u64>) -> String {
    age_ms.map_or_else(|| "unknown".to_owned(), |age| format!("{age} ms"))
}
