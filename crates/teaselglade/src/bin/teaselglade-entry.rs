//! Entry daemon of one entry host.

use std::process::ExitCode;

use teaselglade::program::{EntryProgram, run_daemon};

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> ExitCode {
    run_daemon::<EntryProgram>()
}
