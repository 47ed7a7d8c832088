//! Serving host.

use std::process::ExitCode;

use teaselglade::program::run_host;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> ExitCode {
    run_host()
}
