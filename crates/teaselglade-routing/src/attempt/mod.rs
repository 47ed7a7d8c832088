//! Attempts of a request at servers, and the decision to retry.

mod attempt_outcome;
mod attempt_tracker;
mod move_decider;
mod move_event;

pub use attempt_outcome::AttemptOutcome;
pub use attempt_tracker::{AttemptTracker, NextStep};
pub use move_decider::{MoveAction, MoveDecider};
pub use move_event::{AttemptRole, MoveEvent};
