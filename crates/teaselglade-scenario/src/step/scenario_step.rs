//! One step of a scenario.

use std::collections::BTreeMap;
use std::str::FromStr;
use std::time::Duration;

use super::parser::parse_span;
use crate::{Result, ScenarioError};

/// One step of a scenario.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ScenarioStep {
    /// Line in the file, from 1.
    pub line: usize,
    /// Time of the step, counted from the start.
    pub at: Duration,
    /// What happens.
    pub verb: String,
    /// Words behind the verb.
    pub words: Vec<String>,
    /// Named values behind the verb.
    pub named: BTreeMap<String, String>,
}

impl ScenarioStep {
    /// Returns the word at `index`, from 0.
    ///
    /// # Errors
    ///
    /// Fails where the step has fewer words.
    pub fn word(&self, index: usize) -> Result<&str> {
        let word = self.words.get(index).map(String::as_str);
        word.ok_or_else(|| self.fault(format!("`{}` needs {} words", self.verb, index + 1)))
    }

    /// Returns a named value as `T`.
    ///
    /// # Errors
    ///
    /// Fails where the value is missing or is no `T`.
    pub fn value<T: FromStr>(&self, name: &str) -> Result<T> {
        let value = self.opt_value(name)?;
        value.ok_or_else(|| self.fault(format!("`{}` needs `{name}=`", self.verb)))
    }

    /// Returns a named value as `T`, where there is one.
    ///
    /// # Errors
    ///
    /// Fails where the value is no `T`.
    pub fn opt_value<T: FromStr>(&self, name: &str) -> Result<Option<T>> {
        let Some(text) = self.named.get(name) else {
            return Ok(None);
        };
        let value = text.parse().ok();
        value
            .map(Some)
            .ok_or_else(|| self.fault(format!("`{name}={text}` is malformed")))
    }

    /// Returns a named span, such as `for=20ms`, where there is one.
    ///
    /// # Errors
    ///
    /// Fails where the value is no span.
    pub fn opt_duration(&self, name: &str) -> Result<Option<Duration>> {
        let Some(text) = self.named.get(name) else {
            return Ok(None);
        };
        let span = parse_span(text);
        span.map(Some)
            .ok_or_else(|| self.fault(format!("`{name}={text}` is no span")))
    }

    /// Makes a fault of this step.
    pub fn fault(&self, reason: impl Into<String>) -> ScenarioError {
        ScenarioError {
            line: self.line,
            reason: reason.into(),
        }
    }
}
