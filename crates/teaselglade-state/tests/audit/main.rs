//! Tests of the audit trail.

mod writer_reader;
