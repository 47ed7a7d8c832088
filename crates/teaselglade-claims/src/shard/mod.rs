//! State machine of one host's keyed calls in one shard of the claims log.

mod appending;
mod claim_counters;
mod claim_options;
mod deciding;
mod offset_search;
mod outbox;
mod reading;
mod refusals;
mod shard_action;
mod shard_event;
mod shard_machine;

pub use claim_counters::ClaimCounters;
pub use claim_options::ClaimOptions;
pub use shard_action::ShardAction;
pub use shard_event::ShardEvent;
pub use shard_machine::ShardMachine;
