//! Program that runs the control daemon.

use std::path::Path;

use eyre::Result;
use log::LevelFilter;
use teaselglade_control::{ControlDaemon, ControlSettings, DaemonAddresses};
use teaselglade_net::logging::LogFormat;
use teaselglade_settings::SettingsError;

use super::DaemonProgram;

/// Program that runs the control daemon.
#[derive(Debug)]
pub struct ControlProgram(ControlDaemon);

impl DaemonProgram for ControlProgram {
    type Settings = ControlSettings;
    type Addresses = DaemonAddresses;

    const NAME: &'static str = "teaselglade-control";
    const ABOUT: &'static str = "Control daemon of one entry host. Prints its address as one JSON \
        line once it listens. SIGTERM stops it gracefully: it gives up the lease, so that another \
        daemon takes over at once.";

    fn read_settings(path: &Path) -> Result<ControlSettings, SettingsError> {
        ControlSettings::from_file(path)
    }

    fn log_settings(settings: &ControlSettings) -> (LogFormat, LevelFilter) {
        (settings.log_format, settings.log_level)
    }

    async fn start(settings: ControlSettings) -> Result<Self> {
        Ok(Self(ControlDaemon::start(settings).await?))
    }

    fn addresses(&self) -> &DaemonAddresses {
        self.0.addresses()
    }

    async fn stop(self) {
        self.0.stop().await;
    }
}
