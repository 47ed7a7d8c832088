//! One step of a scenario.

use std::collections::BTreeMap;
use std::str::FromStr;
use std::time::Duration;

use super::parser::parse_duration;
use crate::{Result, ScenarioError};

/// One step of a scenario.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ScenarioStep {
    /// Line number in the file, starting at 1.
    pub line: usize,
    /// Time of the step, relative to the start.
    pub at: Duration,
    /// Verb that names the action.
    pub verb: String,
    /// Positional words after the verb.
    pub words: Vec<String>,
    /// Values given as `NAME=VALUE`.
    pub named: BTreeMap<String, String>,
}

impl ScenarioStep {
    /// Returns the positional word at `index`, starting at 0.
    ///
    /// # Errors
    ///
    /// Fails if the step has too few words.
    pub fn word(&self, index: usize) -> Result<&str> {
        let word = self.words.get(index).map(String::as_str);
        word.ok_or_else(|| {
            self.fault(format!(
                "`{}` expects at least {} words",
                self.verb,
                index + 1
            ))
        })
    }

    /// Returns a required named value, parsed as `T`.
    ///
    /// # Errors
    ///
    /// Fails if the value is missing or malformed.
    pub fn value<T: FromStr>(&self, name: &str) -> Result<T> {
        let value = self.opt_value(name)?;
        value.ok_or_else(|| self.fault(format!("`{}` expects a value `{name}=`", self.verb)))
    }

    /// Returns an optional named value, parsed as `T`.
    ///
    /// # Errors
    ///
    /// Fails if the value is malformed.
    pub fn opt_value<T: FromStr>(&self, name: &str) -> Result<Option<T>> {
        let Some(text) = self.named.get(name) else {
            return Ok(None);
        };
        let value = text.parse().ok();
        value
            .map(Some)
            .ok_or_else(|| self.fault(format!("`{name}={text}` is malformed")))
    }

    /// Returns an optional named duration, such as `for=20ms`.
    ///
    /// # Errors
    ///
    /// Fails if the value is not a duration.
    pub fn opt_duration(&self, name: &str) -> Result<Option<Duration>> {
        let Some(text) = self.named.get(name) else {
            return Ok(None);
        };
        let duration = parse_duration(text);
        duration
            .map(Some)
            .ok_or_else(|| self.fault(format!("`{name}={text}` is not a duration")))
    }

    /// Creates an error at the line of this step.
    pub fn fault(&self, reason: impl Into<String>) -> ScenarioError {
        ScenarioError {
            line: self.line,
            reason: reason.into(),
        }
    }
}
