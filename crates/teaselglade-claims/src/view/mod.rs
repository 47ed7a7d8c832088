//! What a shard's records say about each key.

mod applied_page;
mod claim_resolution;
mod key_state;
mod shard_view;

pub use applied_page::{AppliedPage, ObservedClaim};
pub use claim_resolution::ClaimResolution;
pub use key_state::KeyState;
pub use shard_view::ShardView;
