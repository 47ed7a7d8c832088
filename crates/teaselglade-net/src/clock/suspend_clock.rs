//! Monotonic clock that includes the time during which the host was suspended.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

use teaselglade_core::port::ClockPort;
use teaselglade_core::time::Timestamp;

use super::SystemClock;

/// Monotonic clock that includes the time during which the host was suspended.
///
/// The system's monotonic clock stops while a host is suspended. Whenever the wall clock is ahead
/// of it, this clock jumps forward; it never goes back and never stops.
///
/// # Examples
///
/// ```
/// use teaselglade_core::port::ClockPort;
/// use teaselglade_net::clock::SuspendClock;
///
/// let clock = SuspendClock::start();
/// assert!(clock.now() <= clock.now());
/// ```
#[derive(Debug)]
pub struct SuspendClock {
    monotonic: SystemClock,
    /// Largest lead of the wall clock over the monotonic clock so far, in microseconds.
    max_lead_micros: AtomicU64,
}

impl SuspendClock {
    /// Starts a clock at the current wall time.
    #[must_use]
    pub fn start() -> Self {
        Self {
            monotonic: SystemClock::start(),
            max_lead_micros: AtomicU64::new(0),
        }
    }
}

impl ClockPort for SuspendClock {
    fn now(&self) -> Timestamp {
        let monotonic = self.monotonic.now();
        let wall = SystemTime::now().duration_since(UNIX_EPOCH);
        let wall = Timestamp::ZERO + wall.unwrap_or_default();
        let lead = wall.since(monotonic).as_micros() as u64;
        let max_lead = self.max_lead_micros.fetch_max(lead, Ordering::AcqRel);
        Timestamp::from_micros(monotonic.as_micros() + max_lead.max(lead))
    }
}
