//! The lease's present term, shared with the calls that run under it.

use std::sync::{Mutex, PoisonError};

use teaselglade_core::time::Timestamp;
use teaselglade_state::control::ControlTerm;

/// The lease's present term, shared with the calls that run under it.
#[derive(Debug, Default)]
pub(crate) struct TermCell {
    term: Mutex<Option<ControlTerm>>,
}

impl TermCell {
    /// Replaces the term.
    pub(crate) fn set(&self, term: Option<ControlTerm>) {
        *self.term.lock().unwrap_or_else(PoisonError::into_inner) = term;
    }

    /// Returns the term where it is in force at `now`.
    pub(crate) fn in_force(&self, now: Timestamp) -> Option<ControlTerm> {
        let term = *self.term.lock().unwrap_or_else(PoisonError::into_inner);
        term.filter(|term| now < term.valid_until)
    }
}
