//! Client of the public API, used by the demo and tests.

mod caller_client;
mod plain_report;
mod stream_report;

pub use caller_client::{CallerClient, StreamRequest};
pub use plain_report::PlainReport;
pub use stream_report::{StreamOutcome, StreamReport};
