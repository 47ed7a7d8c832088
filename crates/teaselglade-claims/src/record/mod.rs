//! Records of a shard of the claims log and their encoding.

mod batch_codec;
mod claim_id;
mod claim_outcome;
mod record_error;
mod shard_record;

pub use batch_codec::{decode_batch, encode_batch};
pub use claim_id::ClaimId;
pub use claim_outcome::{ClaimOutcome, StoredAnswer};
pub use record_error::RecordError;
pub use shard_record::{ClaimRecord, SettleRecord, ShardRecord};

/// Result of encoding or decoding a batch.
pub type Result<T> = std::result::Result<T, RecordError>;
