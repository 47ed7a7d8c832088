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

pub(super) const FAULTY_SETTINGS: u8 = 2;

/// A daemon that can run as a process.
pub trait DaemonProgram: Sized + Send {
    /// Settings of the daemon.
    type Settings: Send;
    /// Addresses that the daemon listens on.
    type Addresses: Serialize;

    /// Name of the program.
    const NAME: &'static str;
    /// What the program does, for its help.
    const ABOUT: &'static str;

    /// Reads a settings file.
    ///
    /// # Errors
    ///
    /// Returns every fault of the file.
    fn read_settings(path: &Path) -> Result<Self::Settings, SettingsError>;

    /// Returns form and least level of the log lines.
    fn log_settings(settings: &Self::Settings) -> (LogFormat, LevelFilter);

    /// Starts the daemon.
    ///
    /// # Errors
    ///
    /// Fails where an address cannot be bound.
    fn start(settings: Self::Settings) -> impl Future<Output = Result<Self>> + Send;

    /// Returns the addresses that the daemon listens on.
    fn addresses(&self) -> &Self::Addresses;

    /// Stops the daemon gracefully.
    fn stop(self) -> impl Future<Output = ()> + Send;
}

/// Runs a daemon until SIGTERM or SIGINT stops it gracefully.
///
/// The program prints the daemon's addresses as one JSON line once it listens. It returns 2 where
/// the settings are faulty, and lists every fault on standard error.
#[must_use]
pub fn run_daemon<D: DaemonProgram>() -> ExitCode {
    let options = DaemonOptions::of_process(D::NAME, D::ABOUT);
    let settings = match D::read_settings(&options.config) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(FAULTY_SETTINGS);
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
    let daemon = D::start(settings)
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
