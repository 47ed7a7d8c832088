//! Check of the leader's term immediately before each call of a duty.

use std::sync::{Arc, Mutex, PoisonError};

use teaselglade_core::port::ClockPort;
use teaselglade_core::time::Timestamp;
use teaselglade_net::clock::SuspendClock;
use teaselglade_state::lease::LeaseNumber;

/// Lease number under which this host may act, and until when.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ActiveTerm {
    number: LeaseNumber,
    valid_until: Timestamp,
}

/// Checks the leader's term immediately before each call of a duty.
///
/// Calls run in tasks of their own, after others that may have taken long, and the platform does
/// not check the numbers of late calls everywhere.
///
/// # Examples
///
/// ```
/// use std::sync::Arc;
/// use std::time::Duration;
///
/// use teaselglade_core::port::ClockPort;
/// use teaselglade_host::duty::TermGuard;
/// use teaselglade_net::clock::SuspendClock;
/// use teaselglade_state::lease::LeaseNumber;
///
/// let clock = Arc::new(SuspendClock::start());
/// let guard = TermGuard::new(Arc::clone(&clock));
/// assert!(!guard.allows(LeaseNumber(7)));
/// guard.set(Some(LeaseNumber(7)), clock.now() + Duration::from_hours(1));
/// assert!(guard.allows(LeaseNumber(7)));
/// ```
#[derive(Debug, Clone)]
pub struct TermGuard {
    clock: Arc<SuspendClock>,
    active: Arc<Mutex<Option<ActiveTerm>>>,
}

impl TermGuard {
    /// Creates a guard that allows nothing.
    #[must_use]
    pub fn new(clock: Arc<SuspendClock>) -> Self {
        Self {
            clock,
            active: Arc::default(),
        }
    }

    /// Sets the number under which this host may act until `valid_until`, if any.
    pub fn set(&self, number: Option<LeaseNumber>, valid_until: Timestamp) {
        let term = number.map(|number| ActiveTerm {
            number,
            valid_until,
        });
        *self.active.lock().unwrap_or_else(PoisonError::into_inner) = term;
    }

    /// Returns whether this host may act under `number` now.
    #[must_use]
    pub fn allows(&self, number: LeaseNumber) -> bool {
        let now = self.clock.now();
        let active = *self.active.lock().unwrap_or_else(PoisonError::into_inner);
        active.is_some_and(|term| term.number == number && now < term.valid_until)
    }
}
