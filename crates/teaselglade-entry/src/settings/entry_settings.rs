//! Settings of one entry daemon.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use log::LevelFilter;
use teaselglade_net::logging::LogFormat;
use teaselglade_settings::{Result, SettingsDocument, SettingsObject};

const DEFAULT_DRAIN_TIMEOUT: Duration = Duration::from_secs(30);

/// Holds the settings of one entry daemon.
///
/// # Examples
///
/// ```
/// use teaselglade_entry::EntrySettings;
///
/// let text = r#"{
///     "host": "galway-e1", "zone": "galway", "cluster": "corrib",
///     "callers": "127.0.0.1:8080", "peers": "127.0.0.1:8081",
///     "log": "127.0.0.1:9001", "host_list": "127.0.0.1:9002", // the platform
/// }"#;
/// let settings = EntrySettings::from_text("entry.jsonc", text)?;
/// assert_eq!(settings.zone, "galway");
/// # Ok::<(), teaselglade_settings::SettingsError>(())
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntrySettings {
    /// Name of this host.
    pub host: String,
    /// Data centre of this host.
    pub zone: String,
    /// Name of the cluster; messages from peers of other clusters are rejected.
    pub cluster: String,
    /// Listen address for callers, who reach it through the load balancer.
    pub callers: SocketAddr,
    /// Listen address for peers.
    pub peers: SocketAddr,
    /// Address of the platform's log.
    pub log: SocketAddr,
    /// Address of the platform's host list.
    pub host_list: SocketAddr,
    /// Address of the cloud API, if reclaim notices are read from it.
    pub cloud: Option<SocketAddr>,
    /// Longest time of a graceful stop.
    pub drain_timeout: Duration,
    /// Format of the log lines.
    pub log_format: LogFormat,
    /// Lowest level that is logged.
    pub log_level: LevelFilter,
}

impl EntrySettings {
    /// Reads the settings from a file.
    ///
    /// # Errors
    ///
    /// Returns every error in the file.
    pub fn from_file(path: impl AsRef<Path>) -> Result<Self> {
        SettingsDocument::from_file(path)?.read(read_settings)
    }

    /// Reads the settings from a text; `file` is its name in errors.
    ///
    /// # Errors
    ///
    /// Returns every error in the text.
    pub fn from_text(file: impl Into<String>, text: impl Into<String>) -> Result<Self> {
        SettingsDocument::from_text(file, text).read(read_settings)
    }
}

fn read_settings(root: &SettingsObject<'_>) -> EntrySettings {
    EntrySettings {
        host: root.string("host"),
        zone: root.string("zone"),
        cluster: root.string("cluster"),
        callers: root.address("callers"),
        peers: root.address("peers"),
        log: root.address("log"),
        host_list: root.address("host_list"),
        cloud: root.opt_address("cloud"),
        drain_timeout: root.opt_millis("drain_ms").unwrap_or(DEFAULT_DRAIN_TIMEOUT),
        log_format: root
            .opt_parsed("log_format", "`text` or `json`")
            .unwrap_or_default(),
        log_level: root
            .opt_parsed("log_level", "one of `error`, `warn`, `info`, `debug`")
            .unwrap_or(LevelFilter::Info),
    }
}
