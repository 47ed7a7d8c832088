//! Attempts of a request at servers, and the decision to retry.

mod attempt_outcome;
mod attempt_tracker;

pub use attempt_outcome::AttemptOutcome;
pub use attempt_tracker::{AttemptTracker, NextStep};
