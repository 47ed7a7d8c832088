//! Budget of bytes for news.

use teaselglade_core::time::Timestamp;

const BYTES_PER_SECOND: f64 = 3_000.0;
const MAX_BURST_BYTES: f64 = 60_000.0;

/// Budget of sent bytes, refilled at a constant rate.
#[derive(Debug, Clone)]
pub(super) struct SendBudget {
    bytes: f64,
    refilled: Timestamp,
}

impl SendBudget {
    pub(super) const fn new(now: Timestamp) -> Self {
        Self {
            bytes: MAX_BURST_BYTES,
            refilled: now,
        }
    }

    pub(super) fn has_room(&mut self, now: Timestamp) -> bool {
        let added = (now - self.refilled).as_secs_f64() * BYTES_PER_SECOND;
        self.bytes = (self.bytes + added).min(MAX_BURST_BYTES);
        self.refilled = self.refilled.max(now);
        self.bytes > 0.0
    }

    pub(super) fn spend(&mut self, bytes: usize) {
        self.bytes -= bytes as f64;
    }
}
