//! Byte budget for pushed updates.

use teaselglade_core::time::Timestamp;

const REFILL_BYTES_PER_SECOND: f64 = 3_000.0;
const MAX_BURST_BYTES: f64 = 60_000.0;

/// Token bucket of sent bytes; a message may overdraw it.
#[derive(Debug, Clone)]
pub(super) struct SendBudget {
    bytes: f64,
    refilled_at: Timestamp,
}

impl SendBudget {
    pub(super) const fn new(now: Timestamp) -> Self {
        Self {
            bytes: MAX_BURST_BYTES,
            refilled_at: now,
        }
    }

    /// Refills the bucket up to now and returns whether any bytes are left.
    pub(super) fn has_bytes(&mut self, now: Timestamp) -> bool {
        let added = (now - self.refilled_at).as_secs_f64() * REFILL_BYTES_PER_SECOND;
        self.bytes = (self.bytes + added).min(MAX_BURST_BYTES);
        self.refilled_at = self.refilled_at.max(now);
        self.bytes > 0.0
    }

    /// Takes the bytes of a sent message.
    pub(super) fn spend(&mut self, bytes: usize) {
        self.bytes -= bytes as f64;
    }
}
