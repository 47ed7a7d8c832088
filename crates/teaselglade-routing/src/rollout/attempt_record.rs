//! Attempt that counts for a roll-out.

use std::sync::Arc;

use teaselglade_core::id::ServerKey;

/// Attempt that counts for a roll-out until it is closed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptRecord {
    pub(super) server: ServerKey,
    pub(super) incarnation: u64,
    pub(super) version: u64,
    pub(super) service: Arc<str>,
    pub(super) route: u64,
    pub(super) is_first: bool,
    pub(super) is_timed: bool,
    pub(super) is_answered: bool,
}

impl AttemptRecord {
    /// Marks an attempt that says nothing of the version, such as one that was not run.
    pub const fn discard(&mut self) {
        self.is_answered = true;
    }
}
