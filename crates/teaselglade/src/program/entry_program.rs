//! Program that runs the entry daemon.

use std::path::Path;

use eyre::Result;
use log::LevelFilter;
use teaselglade_entry::{DaemonAddresses, EntryDaemon, EntrySettings};
use teaselglade_net::logging::LogFormat;
use teaselglade_settings::SettingsError;

use super::DaemonProgram;

/// Program that runs the entry daemon.
#[derive(Debug)]
pub struct EntryProgram(EntryDaemon);

impl DaemonProgram for EntryProgram {
    type Settings = EntrySettings;
    type Addresses = DaemonAddresses;

    const NAME: &'static str = "teaselglade-entry";
    const ABOUT: &'static str = "Entry daemon of one entry host. Prints its addresses as one JSON \
        line once it listens. SIGTERM stops it gracefully.";

    fn read_settings(path: &Path) -> Result<EntrySettings, SettingsError> {
        EntrySettings::from_file(path)
    }

    fn log_settings(settings: &EntrySettings) -> (LogFormat, LevelFilter) {
        (settings.log_format, settings.log_level)
    }

    async fn start(settings: EntrySettings) -> Result<Self> {
        Ok(Self(EntryDaemon::start(settings).await?))
    }

    fn addresses(&self) -> &DaemonAddresses {
        self.0.addresses()
    }

    async fn stop(self) {
        self.0.stop().await;
    }
}
