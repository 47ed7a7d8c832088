//! Checked settings in JSON with comments.
//!
//! A [`SettingsObject`] reads fields one by one and keeps a list of faults, so that a file with
//! several faults is reported in one go.

mod document;
mod fault;

pub use document::{SettingsDocument, SettingsObject};
pub use fault::{SettingsError, SettingsFault};

/// Result of reading settings.
pub type Result<T> = std::result::Result<T, SettingsError>;
