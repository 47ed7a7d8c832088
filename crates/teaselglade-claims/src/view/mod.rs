//! What a shard's records say about each key.

mod claim_fate;
mod key_state;
mod page_news;
mod shard_view;

pub use claim_fate::ClaimFate;
pub use key_state::KeyState;
pub use page_news::{ClaimSighting, PageNews};
pub use shard_view::ShardView;
