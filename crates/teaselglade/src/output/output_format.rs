//! Prints for a person or for a program.

use std::fmt::Display;

use eyre::Result;
use serde::Serialize;

/// Whom the output is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutputFormat {
    /// Text for a person.
    Human,
    /// JSON for a program.
    Json,
}

impl OutputFormat {
    /// Prints `value`, as JSON or as `text`.
    ///
    /// # Errors
    ///
    /// Fails where the value cannot be encoded.
    pub fn print(self, value: &impl Serialize, text: impl Display) -> Result<()> {
        match self {
            Self::Human => println!("{text}"),
            Self::Json => println!("{}", serde_json::to_string(value)?),
        }
        Ok(())
    }
}
