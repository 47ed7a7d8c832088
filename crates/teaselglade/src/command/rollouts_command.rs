//! `rollouts`: asks a serving host how the roll-outs stand.

use std::fmt::Write as _;

use eyre::{Result, WrapErr, bail, eyre};
use serde_json::Value;
use teaselglade_host::explain::{ROLLOUTS_PATH, RolloutList, ServiceReport};
use teaselglade_net::client::{HttpClient, HttpRequest};
use teaselglade_routing::rollout::{RolloutStage, RolloutView};

use crate::command_line::RolloutsOptions;
use crate::output::{ExitStatus, OutputFormat};

/// Number of servers printed for people; JSON has all.
const PRINTED_SERVERS: usize = 8;

pub(super) async fn run(options: &RolloutsOptions, format: OutputFormat) -> Result<ExitStatus> {
    let admin = options.admin;
    let response = HttpClient::default()
        .call(HttpRequest::get(admin, ROLLOUTS_PATH))
        .await
        .map_err(|error| eyre!("no answer of host `{admin}`: {error}"))?;
    if !response.is_success() {
        let body: Option<Value> = serde_json::from_slice(&response.body).ok();
        let detail = body.and_then(|body| body["error"].as_str().map(str::to_owned));
        let detail = detail.unwrap_or_else(|| "expected 200".to_owned());
        bail!("host `{admin}` answered {}: {detail}", response.status);
    }
    let list: RolloutList = serde_json::from_slice(&response.body)
        .wrap_err_with(|| format!("cannot read the answer of host `{admin}`"))?;
    format.print(&list, format_list(&list)?)?;
    let mut stages = list.rollouts.iter().map(|rollout| rollout.view.stage);
    Ok(if stages.any(|stage| stage == RolloutStage::RolledBack) {
        ExitStatus::RolledBack
    } else {
        ExitStatus::Success
    })
}

fn format_list(list: &RolloutList) -> Result<String> {
    let leads = if list.leads { ", which leads" } else { "" };
    let mut text = format!("host {}{leads}", list.host);
    if list.rollouts.is_empty() {
        text.push_str("\nno order is known");
    }
    for rollout in &list.rollouts {
        write!(text, "\n\n{}", format_rollout(rollout)?)?;
    }
    Ok(text)
}

fn format_rollout(report: &ServiceReport) -> Result<String> {
    let view = &report.view;
    let (order, own, fleet) = (&view.order, &view.own, &view.fleet);
    let mut text = format!(
        "{} to {}: {} for {:.1} s, order {} s old of {} s",
        order.service,
        order.target,
        view.stage.name(),
        seconds(view.stage_age_ms),
        seconds(view.age_ms),
        seconds(order.over_ms)
    );
    write!(
        text,
        "\nwhy: {}\nshare {:.2}; servers: {} old, {} new, {} on trial",
        reason(view),
        view.traffic_share,
        view.old_servers,
        view.new_servers,
        view.trial_servers
    )?;
    write!(
        text,
        "\n{:<12} {:>8} {:>8} {:>8} {:>8} {:>10}",
        "answers of", "old", "failed", "new", "failed", "permitted"
    )?;
    for (name, counts, permitted) in [
        ("this host", own, view.own_permitted),
        ("all heard", fleet, view.fleet_permitted),
    ] {
        write!(
            text,
            "\n{name:<12} {:>8} {:>8} {:>8} {:>8} {permitted:>10.1}",
            counts.old_answers, counts.old_failures, counts.new_answers, counts.new_failures
        )?;
    }
    write!(
        text,
        "\non trial from this host {}; score {:.2} of a verdict; {} servers fail by themselves; {} \
         requests open at the old version",
        view.own_exposed, view.suspicion, view.failing_servers, view.open_at_old
    )?;
    if !view.silent.is_empty() {
        write!(text, "\nno report of {}", view.silent.join(", "))?;
    }
    write!(
        text,
        "\n{:<24} {:>8} {:>8} {:>8}",
        "new server", "answers", "failed", "broken"
    )?;
    for server in report.servers.iter().take(PRINTED_SERVERS) {
        let (name, tally) = (server.server.as_deref(), &server.tally);
        write!(
            text,
            "\n{:<24} {:>8} {:>8} {:>8}",
            name.unwrap_or("gone"),
            tally.answers,
            tally.failures,
            tally.broken
        )?;
    }
    let hidden = report.servers.len().saturating_sub(PRINTED_SERVERS);
    if hidden > 0 {
        write!(text, "\nand {hidden} more; see --json")?;
    }
    Ok(text)
}

/// Returns what made the verdict, or what the order waits for.
fn reason(view: &RolloutView) -> String {
    if let Some(finding) = &view.finding {
        return format!(
            "{}, {} of {} against {} of {} at the old version, score {:.1}",
            finding.statistic,
            finding.new.1,
            finding.new.0,
            finding.old.1,
            finding.old.0,
            finding.score
        );
    }
    let text = match view.stage {
        RolloutStage::RolledBack => "another host found it bad, or its time was up",
        RolloutStage::Completed => "all hosts have left the old version",
        RolloutStage::Whole if view.is_left_by_all => {
            "requests of this host are open at the old version"
        }
        RolloutStage::Whole => "some hosts have not left the old version, or are not heard",
        _ if view.new_servers == 0 => "no server of the new version is there",
        _ if !view.is_heard => "too few hosts report",
        _ if !view.is_sound => "the new version is not shown to be sound yet",
        _ if view.failing_servers > 0 => "a server of the new version fails by itself",
        _ => "nothing speaks against the new version",
    };
    text.to_owned()
}

fn seconds(millis: u64) -> f64 {
    millis as f64 / 1_000.0
}
