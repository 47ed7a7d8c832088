//! What follows an attempt at a server.

mod attempt_ledger;
mod attempt_outcome;

pub use attempt_ledger::{AttemptLedger, NextStep};
pub use attempt_outcome::AttemptOutcome;
