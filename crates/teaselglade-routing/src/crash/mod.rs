//! Prompt parts that end the servers which begin to write on them.

mod crash_ledger;
mod explained_ends;
mod part_evidence;
mod part_permit;
mod part_record;
mod part_report;

pub use crash_ledger::CrashLedger;
pub use part_evidence::{EndEvidence, PartEvidence};
pub use part_permit::{PartPermit, PartQuery};
pub use part_report::{PartChange, PartReport, PartStanding};
