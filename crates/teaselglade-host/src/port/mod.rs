//! Ports: what the host needs from the platform, as traits.

mod duty_port;
mod feed_port;
mod message_port;

pub use duty_port::{DutyError, DutyPort, DutyTerm};
pub use feed_port::{Feed, FeedItem, FeedPage, FeedPort, PublishedTable, StoreError};
pub use message_port::{AnswerHead, CallHead, MessageError, MessagePort, OutgoingHead};
