//! `audit`: prints the audit trail.

use std::time::Duration;

use eyre::{Result, eyre};
use serde_json::json;
use teaselglade_state::audit::{AuditFilter, AuditLine};
use teaselglade_wire::AuditAction;

use crate::command_line::AuditOptions;
use crate::operation::AuditClient;
use crate::output::{ExitStatus, OutputFormat};

const FOLLOW_POLL_TIMEOUT: Duration = Duration::from_secs(5);

pub(super) async fn run(options: AuditOptions, format: OutputFormat) -> Result<ExitStatus> {
    let mut client = AuditClient::new(options.log.log, audit_filter(&options)?);
    let timeout = if options.follow {
        FOLLOW_POLL_TIMEOUT
    } else {
        Duration::ZERO
    };
    loop {
        let (lines, is_end) = client.next_lines(timeout).await?;
        lines.iter().try_for_each(|line| print_line(line, format))?;
        if is_end && !options.follow {
            return Ok(ExitStatus::Success);
        }
    }
}

fn print_line(line: &AuditLine, format: OutputFormat) -> Result<()> {
    format.print(&json!({ "offset": line.offset, "entry": line.entry }), line)
}

fn audit_filter(options: &AuditOptions) -> Result<AuditFilter> {
    let mut filter = AuditFilter::default();
    if let Some(actor) = &options.actor {
        filter = filter.actor(actor);
    }
    if let Some(subject) = &options.subject {
        filter = filter.subject(subject);
    }
    if let Some(action) = &options.action {
        let parsed = action.parse::<AuditAction>();
        filter = filter.action(parsed.map_err(|_unknown| eyre!("unknown action `{action}`"))?);
    }
    if let Some(number) = options.number {
        filter = filter.number(number);
    }
    if let Some(since_ms) = options.since_ms {
        filter = filter.since_ms(since_ms);
    }
    if let Some(until_ms) = options.until_ms {
        filter = filter.until_ms(until_ms);
    }
    Ok(filter)
}
