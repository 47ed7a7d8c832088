//! Runs a daemon as a process.

use std::path::Path;
use std::process::ExitCode;

use eyre::{Result, WrapErr};
use log::LevelFilter;
use serde::Serialize;
use teaselglade_net::logging::{LogFormat, start_logging};
use teaselglade_settings::SettingsError;
use tokio::signal::unix::{SignalKind, signal};

use super::daemon_options::DaemonOptions;

/// Exit code of a daemon whose settings are invalid.
pub(super) const INVALID_SETTINGS_EXIT_CODE: u8 = 2;

/// Daemon that runs as a process of its own.
pub trait DaemonProgram: Sized + Send {
    /// Settings of the daemon.
    type Settings: Send;
    /// Addresses that the daemon listens on.
    type Addresses: Serialize;

    /// Name of the program.
    const NAME: &'static str;
    /// Description of the program, for its help text.
    const ABOUT: &'static str;

    /// Reads a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error that lists every fault of the file.
    fn read_settings(path: &Path) -> Result<Self::Settings, SettingsError>;

    /// Returns the format of the log lines and their least severe level.
    fn log_settings(settings: &Self::Settings) -> (LogFormat, LevelFilter);

    /// Starts the daemon.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon cannot start, for instance because an address is in use.
    fn start(settings: Self::Settings) -> impl Future<Output = Result<Self>> + Send;

    /// Returns the addresses that the daemon listens on.
    fn addresses(&self) -> &Self::Addresses;

    /// Stops the daemon gracefully.
    fn stop(self) -> impl Future<Output = ()> + Send;
}

/// Runs a daemon until SIGTERM or SIGINT stops it gracefully. SIGHUP only writes a log line.
///
/// The program prints the daemon's addresses as one JSON line once it listens. If the settings are
/// invalid, it lists every fault on standard error and returns exit code 2.
#[must_use]
pub fn run_daemon<D: DaemonProgram>() -> ExitCode {
    let options = DaemonOptions::parse_args(D::NAME, D::ABOUT);
    let settings = match D::read_settings(&options.config) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(INVALID_SETTINGS_EXIT_CODE);
        }
    };
    if options.check {
        println!("{}: no faults", options.config.display());
        return ExitCode::SUCCESS;
    }
    match serve::<D>(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error:#}");
            ExitCode::FAILURE
        }
    }
}

#[tokio::main]
async fn serve<D: DaemonProgram>(settings: D::Settings) -> Result<()> {
    let (format, level) = D::log_settings(&settings);
    start_logging(format, level);
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    // Without a handler, the signal would end the process and every request in hand.
    let mut hang_up = signal(SignalKind::hangup())?;
    let daemon = D::start(settings)
        .await
        .wrap_err("the daemon did not start")?;
    println!("{}", serde_json::to_string(daemon.addresses())?);
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hang_up.recv() => log::info!("settings are not read again, {} goes on", D::NAME),
        }
    }
    daemon.stop().await;
    Ok(())
}
