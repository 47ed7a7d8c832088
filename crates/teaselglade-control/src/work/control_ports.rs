//! Ports of the control daemon.

use std::sync::Arc;

use teaselglade_core::port::{
    BackendPort, ClockPort, CloudPort, EnginePort, HostListPort, LogPort, WeightPort,
};
use teaselglade_net::backend::{BackendClient, EngineClient};
use teaselglade_net::client::HttpClient;
use teaselglade_net::clock::SuspendClock;
use teaselglade_net::platform::{CloudClient, HostListClient, LogClient, WeightClient};

use crate::settings::ControlSettings;

/// Ports to the clock, the platform and the backend servers.
#[derive(Debug)]
pub(crate) struct ControlPorts {
    pub(crate) clock: Arc<dyn ClockPort>,
    pub(crate) log: Arc<dyn LogPort>,
    pub(crate) host_list: Arc<dyn HostListPort>,
    pub(crate) cloud: Arc<dyn CloudPort>,
    pub(crate) weights: Arc<dyn WeightPort>,
    pub(crate) engines: Arc<dyn EnginePort>,
    pub(crate) backend: Arc<dyn BackendPort>,
}

impl ControlPorts {
    /// Creates the adapters, with the addresses from the settings.
    pub(crate) fn connect(settings: &ControlSettings) -> Self {
        let client = || Arc::new(HttpClient::default());
        Self {
            clock: Arc::new(SuspendClock::start()),
            log: Arc::new(LogClient::new(client(), settings.log)),
            host_list: Arc::new(HostListClient::new(client(), settings.host_list)),
            cloud: Arc::new(CloudClient::new(client(), settings.cloud)),
            weights: Arc::new(WeightClient::new(client(), settings.weights)),
            engines: Arc::new(EngineClient::new(client())),
            backend: Arc::new(BackendClient::new(client())),
        }
    }
}
