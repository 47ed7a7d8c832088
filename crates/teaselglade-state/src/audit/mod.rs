//! Audit trail: who changed what, from which to which value, when, and under which number.

mod audit_filter;
mod audit_reader;
mod audit_writer;

pub use audit_filter::AuditFilter;
pub use audit_reader::{AuditLine, AuditReader};
pub use audit_writer::{AuditCommand, AuditEvent, AuditLimits, AuditWriter};
