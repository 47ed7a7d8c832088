//! Small test language for scripted scenarios.
//!
//! A scenario is a text file with one step a line: `at TIME VERB WORD... NAME=VALUE...`. `TIME` is
//! a number with `us`, `ms`, `s` or `m`, counted from the start. Empty lines and lines that start
//! with `#` say nothing to the machine. A crate's tests give the verbs their meaning, run the
//! steps on virtual time and compare the trace with a snapshot.

mod error;
mod step;

pub use error::ScenarioError;
pub use step::{ScenarioStep, parse_scenario};

/// Result of reading a scenario.
pub type Result<T> = std::result::Result<T, ScenarioError>;
