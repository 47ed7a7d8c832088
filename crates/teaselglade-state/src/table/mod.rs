//! Versions of the routing table, decided by the order of publications in the platform's log.
//!
//! Every replica replays the stream of publications and derives the same versions. This module
//! does no I/O: adapters read the log and pass pages in.

mod head_poll;
mod publication_entry;
mod publication_history;
mod publisher_event;
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
pub use publisher_event::{PublishOutcome, PublisherAction, PublisherEvent};
pub use record_codec::{MAX_TABLE_BYTES, decode_record, encode_record};
pub use replay_outcome::{ReplayCounts, ReplayOutcome, SkipReason};
pub use row_change::{RowChange, table_changes};
pub use snapshot_scheduler::{SnapshotDecision, SnapshotScheduler};
pub use table_publisher::TablePublisher;
pub use table_replica::TableReplica;
pub use table_version::TableVersion;

/// Result of encoding or decoding a record of the table's stream.
pub type Result<T> = teaselglade_wire::codec::Result<T>;
