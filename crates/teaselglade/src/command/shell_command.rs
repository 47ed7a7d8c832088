//! `completions` and `man`: print shell completions and the man page.

use std::io;

use clap::CommandFactory;
use clap_complete::Shell;
use eyre::Result;

use crate::command_line::ToolOptions;
use crate::output::ExitStatus;

pub(super) fn print_completions(shell: Shell) -> ExitStatus {
    let mut command = ToolOptions::command();
    clap_complete::generate(shell, &mut command, "teaselglade", &mut io::stdout());
    ExitStatus::Success
}

pub(super) fn print_man() -> Result<ExitStatus> {
    clap_mangen::Man::new(ToolOptions::command()).render(&mut io::stdout())?;
    Ok(ExitStatus::Success)
}
