//! Control daemon of one entry host.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use eyre::{Result, WrapErr};
use teaselglade_control::{ControlDaemon, ControlSettings};
use teaselglade_net::logging::start_logging;
use tokio::signal::unix::{SignalKind, signal};

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// Control daemon of one entry host.
///
/// Prints its address as one JSON line once it listens. SIGTERM stops it gracefully:
/// it gives up the lease, so that another daemon takes over at once.
#[derive(Debug, Parser)]
#[command(version)]
struct Options {
    /// Settings file, in JSON with comments.
    #[arg(long)]
    config: PathBuf,
    /// Only check the settings file.
    #[arg(long)]
    check: bool,
}

fn main() -> ExitCode {
    let options = Options::parse();
    let settings = match ControlSettings::from_file(&options.config) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(2);
        }
    };
    if options.check {
        println!("{}: no faults", options.config.display());
        return ExitCode::SUCCESS;
    }
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error:#}");
            ExitCode::FAILURE
        }
    }
}

#[tokio::main]
async fn run(settings: ControlSettings) -> Result<()> {
    start_logging(settings.log_format, settings.log_level);
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let daemon = ControlDaemon::start(settings)
        .await
        .wrap_err("the daemon did not start")?;
    println!("{}", serde_json::to_string(daemon.addresses())?);
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    daemon.stop().await;
    Ok(())
}
