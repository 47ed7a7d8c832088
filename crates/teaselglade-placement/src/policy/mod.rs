//! Placement of requests on servers: queries, results, events and the policy trait.

mod hardware_constraints;
mod placement;
mod placement_event;
mod placement_policy;
mod placement_query;
mod prefix_block_hashes;
mod server_placer;

pub use hardware_constraints::HardwareConstraints;
pub use placement::{LatencyForecast, Placement};
pub use placement_event::{PlacementEvent, PrefixChange};
pub use placement_policy::PlacementPolicy;
pub use placement_query::PlacementQuery;
pub use prefix_block_hashes::{PREFIX_BLOCK_TOKENS, prefix_block_hashes};
pub use server_placer::ServerPlacer;

use teaselglade_core::verdict::RequestRefusal;

/// Result of a placement.
pub type Result<T> = std::result::Result<T, RequestRefusal>;
