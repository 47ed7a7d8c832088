//! Faults of a settings file.

mod settings_error;
mod settings_fault;

pub use settings_error::SettingsError;
pub use settings_fault::SettingsFault;
