//! Parser for scripted test scenarios.
//!
//! A scenario is a text file with one step per line: `at TIME VERB WORD... NAME=VALUE...`. `TIME`
//! is a number with the unit `us`, `ms`, `s` or `m`, relative to the start. Empty lines and lines
//! that start with `#` are ignored. The tests of each crate define the meaning of the verbs, run
//! the steps in virtual time and compare the trace with a snapshot.

mod error;
mod step;

pub use error::ScenarioError;
pub use step::{ScenarioStep, parse_scenario};

/// Result of parsing a scenario.
pub type Result<T> = std::result::Result<T, ScenarioError>;
