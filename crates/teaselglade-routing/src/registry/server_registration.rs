//! What a backend server says of itself.

use std::net::SocketAddr;

teaselglade_core::value_type! {
    /// Whether a server takes new work.
    pub enum RegistrationState {
        /// It does.
        Ready,
        /// It finishes what it has and then leaves.
        Draining,
    }
}

teaselglade_core::value_type! {
    /// What a backend server says of itself.
    pub struct ServerRegistration {
        /// Its name; a server that starts again may keep it.
        pub id: String,
        /// Unix millisecond of its start; with the id it names one incarnation.
        #[serde(rename = "born")]
        pub started_at_ms: u64,
        /// Number of the heartbeat that wrote the entry; it grows within an incarnation.
        #[serde(rename = "beat")]
        pub heartbeat: u64,
        /// Service that it belongs to.
        pub service: String,
        /// Address that takes requests.
        pub address: SocketAddr,
        /// Zone that it stands in.
        pub zone: String,
        /// Requests that it runs at a time; none where it does not say.
        pub slots: Option<u32>,
        /// Whether it takes new work.
        pub state: RegistrationState,
        /// Whether the platform may take it back.
        pub reclaimable: bool,
    }
}
