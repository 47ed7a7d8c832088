//! Ports of the entry daemon.

use std::sync::Arc;

use teaselglade_core::port::{BackendPort, ClockPort, CloudPort, HostListPort, LogPort, PeerPort};
use teaselglade_net::backend::BackendClient;
use teaselglade_net::client::HttpClient;
use teaselglade_net::clock::SystemClock;
use teaselglade_net::peer::PeerClient;
use teaselglade_net::platform::{CloudClient, HostListClient, LogClient};

use crate::settings::EntrySettings;

/// Holds the ports through which the daemon reaches other processes.
#[derive(Debug)]
pub(crate) struct EntryPorts {
    /// Clock of this host.
    pub(crate) clock: Arc<dyn ClockPort>,
    /// Append-only log of the platform.
    pub(crate) log: Arc<dyn LogPort>,
    /// Host list of the platform.
    pub(crate) host_list: Arc<dyn HostListPort>,
    /// Cloud API, if reclaim notices are read from it.
    pub(crate) cloud: Option<Arc<dyn CloudPort>>,
    /// Backend servers.
    pub(crate) backend: Arc<dyn BackendPort>,
    /// Other entry hosts.
    pub(crate) peer: Arc<dyn PeerPort>,
}

impl EntryPorts {
    /// Returns a client for backend servers that reuses no open connection.
    #[expect(
        clippy::unused_self,
        reason = "ports made for tests will bring their own clients"
    )]
    pub(crate) fn fresh_backend(&self) -> Arc<dyn BackendPort> {
        Arc::new(BackendClient::new(Arc::new(HttpClient::default())))
    }

    /// Creates the adapters for the addresses in the settings.
    pub(crate) fn connect(settings: &EntrySettings) -> Self {
        let client = || Arc::new(HttpClient::default());
        Self {
            clock: Arc::new(SystemClock::start()),
            log: Arc::new(LogClient::new(client(), settings.log)),
            host_list: Arc::new(HostListClient::new(client(), settings.host_list)),
            cloud: settings
                .cloud
                .map(|address| Arc::new(CloudClient::new(client(), address)) as _),
            backend: Arc::new(BackendClient::new(client())),
            peer: Arc::new(PeerClient::new(client())),
        }
    }
}
