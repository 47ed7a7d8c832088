//! Monotonic clock that also counts the time in which the host was suspended.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

use teaselglade_core::port::ClockPort;
use teaselglade_core::time::Timestamp;

use super::SystemClock;

/// Monotonic clock that also counts the time in which the host was suspended.
///
/// The monotonic clock stands still while a host is suspended. Whenever the wall clock has got
/// ahead of it, this clock jumps forward; it never goes back and never stands still.
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
    /// Most microseconds by which the wall clock was ever ahead.
    ahead_micros: AtomicU64,
}

impl SuspendClock {
    /// Anchors a clock at the present wall time.
    #[must_use]
    pub fn start() -> Self {
        Self {
            monotonic: SystemClock::start(),
            ahead_micros: AtomicU64::new(0),
        }
    }
}

impl ClockPort for SuspendClock {
    fn now(&self) -> Timestamp {
        let monotonic = self.monotonic.now();
        let wall = SystemTime::now().duration_since(UNIX_EPOCH);
        let wall = Timestamp::ZERO + wall.unwrap_or_default();
        let ahead = wall.since(monotonic).as_micros() as u64;
        let most = self.ahead_micros.fetch_max(ahead, Ordering::AcqRel);
        Timestamp::from_micros(monotonic.as_micros() + most.max(ahead))
    }
}
