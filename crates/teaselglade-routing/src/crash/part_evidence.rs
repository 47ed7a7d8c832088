//! Evidence against a prompt part, as hosts exchange it.

use serde::{Deserialize, Serialize};

/// End of one server incarnation while an attempt with a part had brought no event.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndEvidence {
    /// Hash of the server's name and start time.
    pub incarnation: u64,
    /// Time since the end, in milliseconds.
    pub age_ms: u64,
    /// Name hashes of the organisations whose attempts were lost.
    pub organisations: Vec<u64>,
    /// Whether the part brought an event since, or the server turned out to run.
    pub is_refuted: bool,
}

/// Evidence against a prompt part, as hosts exchange it.
///
/// Merging is a union: whatever the order and number of messages, all hosts come to the same set.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartEvidence {
    /// Id of the part.
    pub part: u64,
    /// Largest number of parts seen before it in a prompt.
    pub depth: u8,
    /// Servers that ended, each once.
    pub ends: Vec<EndEvidence>,
    /// Number of trials since the part was quarantined.
    pub trials: u32,
    /// Time since the last request with the part, in milliseconds.
    pub request_age_ms: u64,
}
