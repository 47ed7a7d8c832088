//! What another host reported of a roll-out.

use std::time::Duration;

use teaselglade_core::time::Timestamp;

use super::RolloutStage;
use super::version_evidence::VersionEvidence;

/// Age from which a host's report does not show what it does now.
pub(super) const REPORT_TTL: Duration = Duration::from_millis(1_500);

/// What another host reported of a roll-out last.
#[derive(Debug, Clone)]
pub(super) struct PeerView {
    pub(super) started_at_us: u64,
    pub(super) received_at: Timestamp,
    pub(super) stage: RolloutStage,
    pub(super) open_at_old: u32,
    pub(super) evidence: VersionEvidence,
}

impl PeerView {
    /// Returns whether the report shows what the host does now.
    pub(super) fn is_fresh(&self, now: Timestamp) -> bool {
        now.since(self.received_at) < REPORT_TTL
    }
}
