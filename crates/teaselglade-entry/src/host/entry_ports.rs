//! Ports that the daemon's parts use.

use std::sync::Arc;

use teaselglade_core::port::{BackendPort, ClockPort, CloudPort, HostListPort, LogPort, PeerPort};
use teaselglade_net::backend::BackendClient;
use teaselglade_net::client::HttpClient;
use teaselglade_net::clock::SystemClock;
use teaselglade_net::peer::PeerClient;
use teaselglade_net::platform::{CloudClient, HostListClient, LogClient};

use crate::settings::EntrySettings;

/// Ports that the daemon's parts use.
#[derive(Debug)]
pub(crate) struct EntryPorts {
    /// Clock.
    pub(crate) clock: Arc<dyn ClockPort>,
    /// Log.
    pub(crate) log: Arc<dyn LogPort>,
    /// Host list.
    pub(crate) host_list: Arc<dyn HostListPort>,
    /// Cloud API, where notices are read from it.
    pub(crate) cloud: Option<Arc<dyn CloudPort>>,
    /// Backend servers.
    pub(crate) backend: Arc<dyn BackendPort>,
    /// Other entry hosts.
    pub(crate) peer: Arc<dyn PeerPort>,
}

impl EntryPorts {
    /// Returns a client of backend servers that uses none of the open connections.
    #[expect(
        clippy::unused_self,
        reason = "ports made for tests will bring their own clients"
    )]
    pub(crate) fn fresh_backend(&self) -> Arc<dyn BackendPort> {
        Arc::new(BackendClient::new(Arc::new(HttpClient::default())))
    }

    /// Makes the adapters that the settings name.
    pub(crate) fn connect(settings: &EntrySettings) -> Self {
        let caller = || Arc::new(HttpClient::default());
        Self {
            clock: Arc::new(SystemClock::start()),
            log: Arc::new(LogClient::new(caller(), settings.log)),
            host_list: Arc::new(HostListClient::new(caller(), settings.host_list)),
            cloud: settings
                .cloud
                .map(|address| Arc::new(CloudClient::new(caller(), address)) as _),
            backend: Arc::new(BackendClient::new(caller())),
            peer: Arc::new(PeerClient::new(caller())),
        }
    }
}
