//! `explain`: prints the log lines that explain one request.

use std::fs;
use std::io::read_to_string;

use eyre::{Result, WrapErr};

use crate::command_line::ExplainOptions;
use crate::operation::{HostLogLine, RequestTimeline};
use crate::output::{ExitStatus, OutputFormat};

pub(super) fn run(options: &ExplainOptions, format: OutputFormat) -> Result<ExitStatus> {
    let lines = read_lines(options)?;
    let timeline = RequestTimeline::join(&options.id, &lines);
    if timeline.hosts.is_empty() {
        eprintln!("no line names {}; see docs/OPERATIONS.md", options.id);
        return Ok(ExitStatus::Failed);
    }
    match format {
        OutputFormat::Human => print!("{}", timeline.render()),
        OutputFormat::Json => {
            for line in &timeline.lines {
                println!(
                    "{}",
                    serde_json::json!({"source": line.source, "line": line.fields})
                );
            }
        }
    }
    Ok(ExitStatus::Success)
}

fn read_lines(options: &ExplainOptions) -> Result<Vec<HostLogLine>> {
    if options.files.is_empty() {
        let text = read_to_string(std::io::stdin()).wrap_err("cannot read standard input")?;
        return Ok(text
            .lines()
            .filter_map(|line| HostLogLine::parse(line, ""))
            .collect());
    }
    let mut lines = Vec::new();
    for file in &options.files {
        let text = fs::read_to_string(file)
            .wrap_err_with(|| format!("cannot read `{}`", file.display()))?;
        let name = file.file_stem().unwrap_or_default().to_string_lossy();
        lines.extend(
            text.lines()
                .filter_map(|line| HostLogLine::parse(line, &name)),
        );
    }
    Ok(lines)
}
