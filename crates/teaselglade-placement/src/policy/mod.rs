//! Where a request goes: the question, the answer and who decides.

mod hardware_permit;
mod placement;
mod placement_event;
mod placement_policy;
mod placement_query;
mod prefix_blocks;
mod server_placement;

pub use hardware_permit::HardwarePermit;
pub use placement::{Placement, PlacementOutlook};
pub use placement_event::{PlacementEvent, PrefixChange};
pub use placement_policy::PlacementPolicy;
pub use placement_query::PlacementQuery;
pub use prefix_blocks::{PREFIX_BLOCK_TOKENS, prefix_blocks};
pub use server_placement::ServerPlacement;

use teaselglade_core::verdict::RequestRefusal;

/// Result of a placement.
pub type Result<T> = std::result::Result<T, RequestRefusal>;
