//! Lease term shared between the event loop and its calls.

use std::sync::{Mutex, PoisonError};

use teaselglade_core::time::Timestamp;
use teaselglade_state::control::ControlTerm;

/// Current lease term, shared between the event loop and the calls made under it.
#[derive(Debug, Default)]
pub(crate) struct SharedTerm {
    term: Mutex<Option<ControlTerm>>,
}

impl SharedTerm {
    /// Replaces the term; `None` means that the lease is not held.
    pub(crate) fn set(&self, term: Option<ControlTerm>) {
        *self.term.lock().unwrap_or_else(PoisonError::into_inner) = term;
    }

    /// Returns the term if it is still valid at `now`.
    pub(crate) fn active(&self, now: Timestamp) -> Option<ControlTerm> {
        let term = *self.term.lock().unwrap_or_else(PoisonError::into_inner);
        term.filter(|term| now < term.valid_until)
    }
}
