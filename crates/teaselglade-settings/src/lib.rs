//! Reads and validates settings in JSON with comments.
//!
//! A [`SettingsObject`] reads fields one by one and collects faults, so that all faults of a file
//! are reported together.

mod document;
mod fault;

pub use document::{SettingsDocument, SettingsObject};
pub use fault::{SettingsError, SettingsFault};

/// Result of reading settings.
pub type Result<T> = std::result::Result<T, SettingsError>;
