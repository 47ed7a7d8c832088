//! Attributes of a server that affect placement.

use teaselglade_core::id::{ClassKey, ServiceKey, ZoneKey};

teaselglade_core::value_type! {
    /// Attributes of a backend server that affect placement, from the host list.
    #[derive(Copy)]
    pub struct ServerAttributes {
        /// Service that the server runs.
        pub service: ServiceKey,
        /// Hardware class of the host.
        pub class: ClassKey,
        /// Data centre of the host.
        pub zone: ZoneKey,
        /// Price of the host, in euro cents per hour.
        pub cents_per_hour: f64,
        /// Whether the platform may reclaim the host.
        pub reclaimable: bool,
    }
}
