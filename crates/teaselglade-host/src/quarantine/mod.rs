//! Quarantined subjects in the store, for the restart of all hosts at once.

mod quarantine_keeper;
mod quarantine_record;

pub use quarantine_keeper::keep_quarantine;
pub use quarantine_record::QuarantineRecord;
