//! What the host list says of a server.

use teaselglade_core::id::{ClassKey, ServiceKey, ZoneKey};

teaselglade_core::value_type! {
    /// Placement-relevant facts of a backend server.
    #[derive(Copy)]
    pub struct ServerAttributes {
        /// Service that the server runs.
        pub service: ServiceKey,
        /// Hardware class.
        pub class: ClassKey,
        /// Data centre.
        pub zone: ZoneKey,
        /// Price in euro cents an hour.
        pub cents_per_hour: f64,
        /// Whether the platform can take the host back.
        pub reclaimable: bool,
    }
}
