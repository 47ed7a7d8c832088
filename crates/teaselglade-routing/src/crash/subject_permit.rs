//! Decision whether an attempt may be sent, by the standing of its subjects.

use std::time::Duration;

use super::{CrashSubject, RequestSubjects};

/// Attempt about to be placed.
#[derive(Debug, Clone, Copy)]
pub struct SubjectQuery<'a> {
    /// Name of the caller's organisation; empty if there is none.
    pub organisation: &'a str,
    /// Subjects of the request.
    pub subjects: RequestSubjects<'a>,
    /// Whether the request was sent to a server before.
    pub is_repeat: bool,
    /// Whether this host may try a quarantined subject again, as one host of the fleet does.
    pub may_try: bool,
}

/// Attempt that must run alone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ContainedRun {
    /// What speaks against the request; it selects the server.
    pub subject: CrashSubject,
    /// Number of such attempts that run without an event; selects another server for each.
    pub rank: u32,
    /// Whether the subject is tried again although enough servers ended to refuse it.
    pub is_trial: bool,
}

/// Decision whether an attempt may be sent, by the standing of its subjects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubjectPermit {
    /// Nothing speaks against the subjects.
    Unrestricted,
    /// The attempt may run, on the server that its subject selects.
    Contained(ContainedRun),
    /// The attempt must not be sent.
    Refused {
        /// What speaks against the request.
        subject: CrashSubject,
        /// Time after which a request with the subject may be accepted.
        retry_after: Duration,
    },
}
