//! Which version of the table is in force, as the platform's log decides it.
//!
//! Every reader replays the stream of publications and comes to the same versions. Nothing here
//! reads the log; adapters hand pages in.

mod head_poll;
mod publication_entry;
mod publication_history;
mod publisher_message;
mod record_codec;
mod replay_outcome;
mod row_change;
mod snapshot_merge;
mod snapshot_scheduler;
mod table_publisher;
mod table_replica;
mod table_version;

pub use head_poll::{HeadPoll, PollVerdict};
pub use publication_entry::{PublicationEntry, PublicationOutcome, PublicationRejection};
pub use publisher_message::{PublishOutcome, PublisherAction, PublisherEvent};
pub use record_codec::{MAX_TABLE_BYTES, decode_record, encode_record};
pub use replay_outcome::{ReplayCounts, ReplayOutcome, SkipReason};
pub use row_change::{RowChange, table_changes};
pub use snapshot_scheduler::{SnapshotDecision, SnapshotScheduler};
pub use table_publisher::TablePublisher;
pub use table_replica::TableReplica;
pub use table_version::TableVersion;

/// Result of encoding a record of the table's stream.
pub type Result<T> = teaselglade_wire::codec::Result<T>;
