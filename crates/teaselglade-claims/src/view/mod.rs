//! State of each idempotency key, as the records of a shard determine it.

mod applied_page;
mod claim_resolution;
mod key_state;
mod shard_view;

pub use applied_page::{AppliedPage, ObservedClaim};
pub use claim_resolution::ClaimResolution;
pub use key_state::KeyState;
pub use shard_view::ShardView;
