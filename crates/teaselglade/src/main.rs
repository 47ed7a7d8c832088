//! Operators' tool of teaselglade.

use std::process::ExitCode;

use clap::Parser;
use teaselglade::command::run_command;
use teaselglade::command_line::ToolOptions;
use teaselglade::output::ExitStatus;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

#[tokio::main]
async fn main() -> ExitCode {
    match run_command(ToolOptions::parse()).await {
        Ok(status) => status.into(),
        Err(error) => {
            eprintln!("teaselglade: {error:#}");
            ExitStatus::Failed.into()
        }
    }
}
