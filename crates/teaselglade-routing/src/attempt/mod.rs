//! What follows an attempt at a server.

mod attempt_outcome;
mod attempt_tracker;

pub use attempt_outcome::AttemptOutcome;
pub use attempt_tracker::{AttemptTracker, NextStep};
