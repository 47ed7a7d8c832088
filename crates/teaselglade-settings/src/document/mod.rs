//! Reads the fields of a settings file.

mod line_index;
mod settings_document;
mod settings_object;

pub use settings_document::SettingsDocument;
pub use settings_object::SettingsObject;
