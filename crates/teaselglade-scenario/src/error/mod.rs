//! Error in a scenario file.

use std::fmt;

/// Error in a scenario file, with its line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ScenarioError {
    /// Line number in the file, starting at 1.
    pub line: usize,
    /// Description of the error.
    pub reason: String,
}

impl fmt::Display for ScenarioError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.reason)
    }
}

impl std::error::Error for ScenarioError {}
