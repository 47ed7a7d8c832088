//! Ports: traits through which the host uses the platform.

mod duty_port;
mod feed_port;
mod message_port;
mod packed_table;

pub use duty_port::{DutyError, DutyPort, LeaderTerm};
pub use feed_port::{
    Feed, FeedItem, FeedPage, FeedPort, PublishedRollout, PublishedTable, RolloutPosition,
    StoreError,
};
pub use message_port::{ForwardedHead, MessageError, MessagePort, RequestHead, ResponseHead};
pub use packed_table::PackedTable;
