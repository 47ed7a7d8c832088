//! Output formats of the tool.

use std::fmt::Display;

use eyre::Result;
use serde::Serialize;

/// Selects between output for people and for programs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutputFormat {
    /// Text for people.
    Human,
    /// One line of JSON for programs.
    Json,
}

impl OutputFormat {
    /// Prints `value` as JSON, or `text` in its place.
    ///
    /// # Errors
    ///
    /// Returns an error if `value` cannot be encoded.
    pub fn print(self, value: &impl Serialize, text: impl Display) -> Result<()> {
        match self {
            Self::Human => println!("{text}"),
            Self::Json => println!("{}", serde_json::to_string(value)?),
        }
        Ok(())
    }
}
