//! Error that lists the faults of a settings file.

use std::fmt;

use super::SettingsFault;

/// Error that lists the faults of a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsError {
    /// Name of the file.
    pub file: String,
    /// Faults, ordered by line.
    pub faults: Vec<SettingsFault>,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.faults.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{}: {fault}", self.file)?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingsError {}
