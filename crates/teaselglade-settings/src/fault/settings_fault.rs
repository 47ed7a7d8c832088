//! Single fault of a settings file.

use std::fmt;

/// Single fault of a settings file.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct SettingsFault {
    /// Line number in the file, starting at 1.
    pub line: usize,
    /// Path of the field, such as `log.address`; empty for a fault of the whole file.
    pub field: String,
    /// Description of the fault and of the expected value.
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
