//! `table`: checks, publishes and prints the routing table.

use std::fmt::Write as _;
use std::fs;

use eyre::{Result, WrapErr};
use serde_json::json;
use teaselglade_core::port::ClockPort;
use teaselglade_core::table::parse_table;
use teaselglade_net::clock::SystemClock;
use teaselglade_state::audit::AuditFilter;
use teaselglade_state::table::{
    PublicationEntry, PublicationOutcome, PublicationRejection, PublishOutcome, table_changes,
};
use teaselglade_wire::{AuditAction, AuditEntry};

use crate::command_line::{
    TableCheckOptions, TableCommand, TableHistoryOptions, TablePublishOptions, TableShowOptions,
};
use crate::operation::{AuditClient, PublishRequest, TableClient};
use crate::output::{ExitStatus, OutputFormat};

pub(super) async fn run(command: TableCommand, format: OutputFormat) -> Result<ExitStatus> {
    match command {
        TableCommand::Check(options) => check(&options, format),
        TableCommand::Publish(options) => publish(options, format).await,
        TableCommand::Show(options) => show(options, format).await,
        TableCommand::History(options) => history(options, format).await,
    }
}

fn check(options: &TableCheckOptions, format: OutputFormat) -> Result<ExitStatus> {
    let csv = read_file(&options.file)?;
    match parse_table(&csv) {
        Ok(table) => {
            let (organisations, services) = (table.organisations.len(), table.services.len());
            let value = json!({ "organisations": organisations, "services": services });
            let text = format!("no faults: {organisations} organisations, {services} services");
            format.print(&value, text)?;
            Ok(ExitStatus::Success)
        }
        Err(error) => {
            let faults = error.faults.iter().map(
                |fault| json!({ "row": fault.row, "column": fault.column, "reason": fault.reason }),
            );
            let value = json!({ "faults": faults.collect::<Vec<_>>() });
            format.print(&value, &error)?;
            Ok(ExitStatus::InvalidInput)
        }
    }
}

async fn publish(options: TablePublishOptions, format: OutputFormat) -> Result<ExitStatus> {
    let csv = read_file(&options.file)?;
    if let Err(error) = parse_table(&csv) {
        format.print(
            &json!({ "outcome": "faulty", "detail": error.to_string() }),
            &error,
        )?;
        return Ok(ExitStatus::InvalidInput);
    }
    let client = TableClient::new(options.log.log, &options.log.cluster);
    let author = options.author.clone();
    let request = PublishRequest {
        base: options.base,
        author,
        csv: csv.clone(),
    };
    let outcome = client.publish(request).await?;
    if let Some(entry) = build_audit_entry(&options, &outcome) {
        let audit = AuditClient::new(options.log.log, AuditFilter::default());
        if let Err(error) = audit.record(entry).await {
            eprintln!("cannot write the audit entry of this publication: {error}");
        }
    }
    print_outcome(&outcome, &csv, format)
}

fn print_outcome(outcome: &PublishOutcome, csv: &str, format: OutputFormat) -> Result<ExitStatus> {
    match outcome {
        PublishOutcome::Accepted { version } => {
            let value = json!({ "outcome": "accepted", "version": version });
            format.print(&value, format_args!("accepted as version {version}"))?;
            Ok(ExitStatus::Success)
        }
        PublishOutcome::Rejected(rejection) => {
            let changes = diff_from_winner(rejection, csv);
            let detail = rejection.to_string();
            let value = json!({ "outcome": "rejected", "detail": detail, "changes": changes });
            let mut text = format!("rejected: {detail}");
            if !changes.is_empty() {
                text.push_str("\nyour table (-) and the winner's (+) differ in:");
            }
            for change in &changes {
                write!(text, "\n{change}")?;
            }
            format.print(&value, text)?;
            Ok(ExitStatus::Rejected)
        }
        PublishOutcome::NotAppended => {
            let text = "not published: the log took nothing; try again";
            format.print(&json!({ "outcome": "not_published" }), text)?;
            Ok(ExitStatus::Failed)
        }
        PublishOutcome::Unresolved => {
            let text = "not known: the log could not be read back; see `table history`";
            format.print(&json!({ "outcome": "unresolved" }), text)?;
            Ok(ExitStatus::Unresolved)
        }
    }
}

/// Returns the rows in which the winning table differs from the rejected one.
fn diff_from_winner(rejection: &PublicationRejection, csv: &str) -> Vec<String> {
    let PublicationRejection::StaleBase {
        winner: Some(winner),
        ..
    } = rejection
    else {
        return Vec::new();
    };
    let changes = table_changes(csv, &winner.csv);
    changes.iter().map(ToString::to_string).collect()
}

fn build_audit_entry(
    options: &TablePublishOptions,
    outcome: &PublishOutcome,
) -> Option<AuditEntry> {
    let (action, to, number) = match outcome {
        PublishOutcome::Accepted { version } => (
            AuditAction::TablePublished,
            format!("version {version}"),
            Some(*version),
        ),
        PublishOutcome::Rejected(rejection) => {
            (AuditAction::TableRejected, rejection.to_string(), None)
        }
        PublishOutcome::NotAppended | PublishOutcome::Unresolved => return None,
    };
    Some(AuditEntry {
        actor: options.author.clone(),
        action,
        subject: format!("table/{}", options.log.cluster),
        from: options.base.map(|base| format!("version {base}")),
        to: Some(to),
        at_ms: SystemClock::start().now().as_millis(),
        number,
    })
}

async fn show(options: TableShowOptions, format: OutputFormat) -> Result<ExitStatus> {
    let replica = TableClient::new(options.log.log, options.log.cluster)
        .read()
        .await?;
    let head = replica.head();
    if head.version == 0 {
        format.print(head, "no table is published yet")?;
        return Ok(ExitStatus::Success);
    }
    let text = format!(
        "# version {} by {}\n{}",
        head.version,
        head.author,
        head.csv.trim_end()
    );
    format.print(head, text)?;
    Ok(ExitStatus::Success)
}

async fn history(options: TableHistoryOptions, format: OutputFormat) -> Result<ExitStatus> {
    let replica = TableClient::new(options.log.log, options.log.cluster)
        .read()
        .await?;
    let value = replica.history().map(history_json).collect::<Vec<_>>();
    let lines = replica.history().map(history_line).collect::<Vec<_>>();
    format.print(&value, lines.join("\n"))?;
    Ok(ExitStatus::Success)
}

fn history_json(entry: &PublicationEntry) -> serde_json::Value {
    json!({
        "offset": entry.offset,
        "base": entry.base,
        "author": entry.author,
        "appended_ms": entry.appended.as_millis(),
        "outcome": outcome_text(&entry.outcome),
    })
}

fn history_line(entry: &PublicationEntry) -> String {
    let millis = entry.appended.as_millis();
    let outcome = outcome_text(&entry.outcome);
    format!(
        "{} at_ms={millis} base={} {}: {outcome}",
        entry.offset, entry.base, entry.author
    )
}

fn outcome_text(outcome: &PublicationOutcome) -> String {
    match outcome {
        PublicationOutcome::Accepted { version } => format!("accepted as version {version}"),
        PublicationOutcome::Rejected(rejection) => format!("rejected: {rejection}"),
    }
}

fn read_file(path: &std::path::Path) -> Result<String> {
    fs::read_to_string(path).wrap_err_with(|| format!("cannot read `{}`", path.display()))
}
