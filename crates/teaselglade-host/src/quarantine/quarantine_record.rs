//! Record of quarantined subjects in the store.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use teaselglade_core::time::Timestamp;
use teaselglade_routing::crash::SubjectEvidence;

/// Record of quarantined subjects in the store.
///
/// # Examples
///
/// ```
/// use teaselglade_core::time::Timestamp;
/// use teaselglade_host::quarantine::QuarantineRecord;
///
/// let written = QuarantineRecord::new(Timestamp::from_millis(1_000), Vec::new());
/// let read = QuarantineRecord::decode(&written.encode()?)?;
/// assert!(read.evidence_at(Timestamp::from_millis(2_000)).is_empty());
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineRecord {
    /// Wall-clock time of the writer, in Unix milliseconds; ages count from it.
    written_at_ms: u64,
    #[serde(rename = "parts")]
    subjects: Vec<SubjectEvidence>,
}

impl QuarantineRecord {
    /// Creates the record of subjects with this evidence at a wall-clock time.
    #[must_use]
    pub const fn new(wall_time: Timestamp, subjects: Vec<SubjectEvidence>) -> Self {
        Self {
            written_at_ms: wall_time.as_millis(),
            subjects,
        }
    }

    /// Encodes the record for the store.
    ///
    /// # Errors
    ///
    /// Returns the codec's error; none is expected, as it supports all field types.
    pub fn encode(&self) -> Result<Bytes, rmp_serde::encode::Error> {
        rmp_serde::to_vec_named(self).map(Bytes::from)
    }

    /// Decodes a record of the store.
    ///
    /// # Errors
    ///
    /// Returns the codec's error if another writer wrote the bytes.
    pub fn decode(bytes: &[u8]) -> Result<Self, rmp_serde::decode::Error> {
        rmp_serde::from_slice(bytes)
    }

    /// Returns the evidence with its ages at a wall-clock time.
    ///
    /// A clock that was set back since the record was written leaves the ages as they were.
    #[must_use]
    pub fn evidence_at(&self, wall_time: Timestamp) -> Vec<SubjectEvidence> {
        let elapsed_ms = wall_time.as_millis().saturating_sub(self.written_at_ms);
        let subjects = self.subjects.iter().cloned().map(|mut evidence| {
            evidence.request_age_ms += elapsed_ms;
            for end in &mut evidence.ends {
                end.age_ms += elapsed_ms;
            }
            evidence
        });
        subjects.collect()
    }
}
