//! Settings of the entry daemon.

mod entry_settings;

pub use entry_settings::EntrySettings;
