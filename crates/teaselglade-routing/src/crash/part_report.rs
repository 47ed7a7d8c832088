//! What operators see of a prompt part.

use serde::{Deserialize, Serialize};

/// Standing of a part, from the servers that ended on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PartStanding {
    /// Nothing or too little speaks against it.
    Clear,
    /// Its requests run alone and once, all on the same server.
    Contained,
    /// Its requests are refused.
    Quarantined,
}

impl PartStanding {
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

/// What operators see of a prompt part.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartReport {
    /// Id of the part in hexadecimal, as requests name it.
    pub part: String,
    /// Standing of the part.
    pub standing: PartStanding,
    /// Number of servers that ended on it, as far as not refuted.
    pub ends: usize,
    /// Time since the first of them, in milliseconds.
    pub first_end_age_ms: u64,
    /// Time since the last request with the part, in milliseconds.
    pub request_age_ms: u64,
    /// Number of trials so far.
    pub trials: u32,
}

/// Change of a part's standing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PartChange {
    /// Standing before the change.
    pub before: PartStanding,
    /// The part after the change.
    pub report: PartReport,
}
