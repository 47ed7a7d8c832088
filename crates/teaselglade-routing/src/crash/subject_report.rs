//! What operators see of a subject.

use serde::{Deserialize, Serialize};

/// Standing of a subject, from the servers that ended on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SubjectStanding {
    /// Nothing or too little speaks against it.
    Clear,
    /// Its requests run alone and once, all on the same server.
    Contained,
    /// Its requests are refused.
    Quarantined,
}

impl SubjectStanding {
    /// Returns the name in log lines, metrics and reports.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Clear => "clear",
            Self::Contained => "contained",
            Self::Quarantined => "quarantined",
        }
    }
}

/// What operators see of a subject.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubjectReport {
    /// Id of a prompt part in hexadecimal, or `request-` with the hash of a request.
    #[serde(rename = "part")]
    pub subject: String,
    /// Standing of the subject.
    pub standing: SubjectStanding,
    /// Number of servers that ended on it, as far as not refuted.
    pub ends: usize,
    /// Time since the first of them, in milliseconds.
    pub first_end_age_ms: u64,
    /// Time since the last request with the subject, in milliseconds.
    pub request_age_ms: u64,
    /// Number of trials so far.
    pub trials: u32,
}

/// Change of a subject's standing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SubjectChange {
    /// Standing before the change.
    pub before: SubjectStanding,
    /// The subject after the change.
    pub report: SubjectReport,
}
