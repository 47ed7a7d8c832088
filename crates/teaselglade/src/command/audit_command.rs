//! Shows the audit trail.

use std::time::Duration;

use eyre::{Result, eyre};
use serde_json::json;
use teaselglade_state::audit::{AuditFilter, AuditLine};
use teaselglade_wire::AuditAction;

use crate::command_line::AuditOptions;
use crate::operation::AuditFeed;
use crate::output::{ExitStatus, OutputFormat};

const FOLLOW_WAIT: Duration = Duration::from_secs(5);

pub(super) async fn run(options: AuditOptions, format: OutputFormat) -> Result<ExitStatus> {
    let mut feed = AuditFeed::new(options.log.log, audit_filter(&options)?);
    let wait = if options.follow {
        FOLLOW_WAIT
    } else {
        Duration::ZERO
    };
    loop {
        let (lines, is_end) = feed.next_lines(wait).await?;
        lines.iter().try_for_each(|line| print_line(line, format))?;
        if is_end && !options.follow {
            return Ok(ExitStatus::Done);
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
    if let Some(name) = &options.action {
        let action = name.parse::<AuditAction>();
        filter = filter.action(action.map_err(|_unknown| eyre!("no action `{name}`"))?);
    }
    if let Some(number) = options.number {
        filter = filter.number(number);
    }
    if let Some(since) = options.since_ms {
        filter = filter.since_ms(since);
    }
    if let Some(until) = options.until_ms {
        filter = filter.until_ms(until);
    }
    Ok(filter)
}
