//! Counts of requests that began to run, by organisation and window of wall time.

mod usage_ledger;

pub use usage_ledger::{UsageLedger, WindowCounts};
