//! One fault of a settings file.

use std::fmt;

/// One fault of a settings file.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct SettingsFault {
    /// Line in the file, from 1.
    pub line: usize,
    /// Path of the field, such as `log.address`.
    pub field: String,
    /// What is wrong and what is expected.
    pub reason: String,
}

impl fmt::Display for SettingsFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.field.is_empty() {
            return write!(f, "line {}: {}", self.line, self.reason);
        }
        write!(
            f,
            "line {}, field `{}`: {}",
            self.line, self.field, self.reason
        )
    }
}
