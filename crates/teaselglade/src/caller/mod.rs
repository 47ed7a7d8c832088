//! Client of the callers' interface, as the demo, the load tool and tests use it.

mod caller_client;
mod plain_report;
mod stream_report;

pub use caller_client::{CallerClient, StreamQuery};
pub use plain_report::PlainReport;
pub use stream_report::{StreamOutcome, StreamReport};
