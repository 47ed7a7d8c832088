//! The registration of a backend server.

use std::net::SocketAddr;

use super::StorePosition;

teaselglade_core::value_type! {
    /// State of a registration: whether the server accepts new work.
    pub enum RegistrationState {
        /// The server accepts new work.
        Ready,
        /// The server finishes its requests in progress and then leaves.
        Draining,
    }
}

teaselglade_core::value_type! {
    /// State that a backend server registers in the store with each heartbeat.
    pub struct ServerRegistration {
        /// Name of the server, which may stay the same after a restart.
        pub id: String,
        /// Start time in Unix milliseconds; with the id it identifies one incarnation.
        #[serde(rename = "born")]
        pub started_at_ms: u64,
        /// Number of the heartbeat that wrote the registration; it grows within an incarnation.
        #[serde(rename = "beat")]
        pub heartbeat: u64,
        /// Service that the server runs.
        pub service: String,
        /// Address that accepts requests.
        pub address: SocketAddr,
        /// Zone of the server.
        pub zone: String,
        /// Number of requests that it runs concurrently, if it registers one.
        pub slots: Option<u32>,
        /// Whether the server accepts new work.
        pub state: RegistrationState,
        /// Whether the platform may reclaim the server.
        pub reclaimable: bool,
        /// Version of the software that it runs; empty if it registers none.
        #[serde(default)]
        pub version: String,
        /// Position of the registration in the store.
        #[serde(rename = "pos", default)]
        pub position: StorePosition,
    }
}
