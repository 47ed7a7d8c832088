//! Requests and prompt parts that end the servers which run them.

mod crash_ledger;
mod crash_subject;
mod explained_ends;
mod request_hash;
mod request_subjects;
mod subject_evidence;
mod subject_permit;
mod subject_record;
mod subject_report;

pub use crash_ledger::CrashLedger;
pub use crash_subject::{CrashSubject, SubjectError};
pub use request_hash::{RequestContent, RequestHash};
pub use request_subjects::RequestSubjects;
pub use subject_evidence::{EndEvidence, SubjectEvidence};
pub use subject_permit::{ContainedRun, SubjectPermit, SubjectQuery};
pub use subject_report::{SubjectChange, SubjectReport, SubjectStanding};
