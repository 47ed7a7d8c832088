//! Settings of one control daemon.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use log::LevelFilter;
use teaselglade_net::logging::LogFormat;
use teaselglade_settings::{Result, SettingsDocument, SettingsObject};
use teaselglade_state::control::{EngineProfile, HostOffer};
use teaselglade_state::lease::LeaseTimings;

use super::fleet_settings::{read_offer, read_profile};
use super::lease_settings::read_timings;

const DEFAULT_RETENTION: Duration = Duration::from_hours(24);

/// Settings of one control daemon.
///
/// # Examples
///
/// ```
/// use teaselglade_control::ControlSettings;
///
/// let text = r#"{
///     "host": "galway-e1", "zone": "galway", "cluster": "corrib",
///     "control": "127.0.0.1:8082",
///     "log": "127.0.0.1:9001", "host_list": "127.0.0.1:9002", // the platform
///     "cloud": "127.0.0.1:9003", "weights": "127.0.0.1:9004",
///     "offers": [
///         { "zone": "galway", "class": "l4", "purchase": "reclaimable", "cents_per_hour": 60 },
///     ],
/// }"#;
/// let settings = ControlSettings::from_text("control.jsonc", text)?;
/// assert_eq!(settings.offers.len(), 1);
/// # Ok::<(), teaselglade_settings::SettingsError>(())
/// ```
#[derive(Debug, Clone, PartialEq)]
pub struct ControlSettings {
    /// Name of the host that runs the daemon.
    pub host: String,
    /// Data centre of that host.
    pub zone: String,
    /// Name of the cluster.
    pub cluster: String,
    /// Address to bind for the operator routes: health, readiness and metrics.
    pub control: SocketAddr,
    /// Address of the platform's log.
    pub log: SocketAddr,
    /// Address of the platform's host list.
    pub host_list: SocketAddr,
    /// Address of the cloud API.
    pub cloud: SocketAddr,
    /// Address of the weight store.
    pub weights: SocketAddr,
    /// Kinds of host that can be ordered from the cloud API.
    pub offers: Vec<HostOffer>,
    /// Engine profiles; a service without one loads the model of the same name.
    pub profiles: Vec<EngineProfile>,
    /// Durations that govern the lease.
    pub lease: LeaseTimings,
    /// How long the log keeps records.
    pub retention: Duration,
    /// Format of the log lines.
    pub log_format: LogFormat,
    /// Minimum level of the log lines.
    pub log_level: LevelFilter,
}

impl ControlSettings {
    /// Parses a settings file in JSON with comments.
    ///
    /// # Errors
    ///
    /// Returns an error that lists all faults of the file.
    pub fn from_file(path: impl AsRef<Path>) -> Result<Self> {
        SettingsDocument::from_file(path)?.read(read_settings)
    }

    /// Parses settings from a string; `file` is the name that errors print.
    ///
    /// # Errors
    ///
    /// Returns an error that lists all faults of the text.
    pub fn from_text(file: impl Into<String>, text: impl Into<String>) -> Result<Self> {
        SettingsDocument::from_text(file, text).read(read_settings)
    }
}

fn read_settings(root: &SettingsObject<'_>) -> ControlSettings {
    ControlSettings {
        host: root.string("host"),
        zone: root.string("zone"),
        cluster: root.string("cluster"),
        control: root.address("control"),
        log: root.address("log"),
        host_list: root.address("host_list"),
        cloud: root.address("cloud"),
        weights: root.address("weights"),
        offers: root.objects("offers", read_offer),
        profiles: root.objects("profiles", read_profile),
        lease: root.object("lease", read_timings).unwrap_or_default(),
        retention: root.opt_millis("retention_ms").unwrap_or(DEFAULT_RETENTION),
        log_format: root
            .opt_parsed("log_format", "`text` or `json`")
            .unwrap_or_default(),
        log_level: root
            .opt_parsed("log_level", "one of `error`, `warn`, `info`, `debug`")
            .unwrap_or(LevelFilter::Info),
    }
}
