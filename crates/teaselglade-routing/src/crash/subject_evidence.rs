//! Evidence against a subject, as hosts exchange it.

use serde::{Deserialize, Serialize};

use super::CrashSubject;

/// End of one server incarnation while an attempt had brought no event or response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndEvidence {
    /// Hash of the server's name and start time.
    pub incarnation: u64,
    /// Time since the end, in milliseconds.
    pub age_ms: u64,
    /// Name hashes of the organisations whose attempts were lost.
    pub organisations: Vec<u64>,
    /// Whether the subject was answered since, or the server turned out to run.
    pub is_refuted: bool,
}

/// Evidence against a subject, as hosts exchange it.
///
/// Merging is a union: whatever the order and number of messages, all hosts come to the same set.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubjectEvidence {
    /// What the evidence speaks against.
    #[serde(rename = "part")]
    pub subject: CrashSubject,
    /// Largest number of parts seen before it in a prompt; the most for a whole request.
    pub depth: u8,
    /// Servers that ended, each once.
    pub ends: Vec<EndEvidence>,
    /// Number of trials since the subject was quarantined.
    pub trials: u32,
    /// Time since the last request with the subject, in milliseconds.
    pub request_age_ms: u64,
}
