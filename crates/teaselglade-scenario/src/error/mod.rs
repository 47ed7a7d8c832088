//! Fault of a scenario.

use std::fmt;

/// Fault of a scenario, with its line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ScenarioError {
    /// Line in the file, from 1.
    pub line: usize,
    /// What is wrong.
    pub reason: String,
}

impl fmt::Display for ScenarioError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.reason)
    }
}

impl std::error::Error for ScenarioError {}
