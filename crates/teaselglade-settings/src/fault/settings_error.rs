//! Every fault of a settings file.

use std::fmt;

use super::SettingsFault;

/// Every fault found in a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsError {
    /// Name of the file.
    pub file: String,
    /// The faults, in the order of their lines.
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
