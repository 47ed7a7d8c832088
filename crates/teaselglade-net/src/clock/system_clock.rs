//! Monotonic clock that starts at the wall time.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use teaselglade_core::port::ClockPort;
use teaselglade_core::time::Timestamp;

/// Clock that adds the monotonic time since its start to the wall time then.
///
/// # Examples
///
/// ```
/// use teaselglade_core::port::ClockPort;
/// use teaselglade_net::clock::SystemClock;
///
/// let clock = SystemClock::start();
/// assert!(clock.now() <= clock.now());
/// ```
#[derive(Debug, Clone, Copy)]
pub struct SystemClock {
    wall_at_start: Timestamp,
    started_at: Instant,
}

impl SystemClock {
    /// Starts a clock at the current wall time.
    #[must_use]
    pub fn start() -> Self {
        let wall = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            wall_at_start: Timestamp::ZERO + wall,
            started_at: Instant::now(),
        }
    }
}

impl ClockPort for SystemClock {
    fn now(&self) -> Timestamp {
        self.wall_at_start + self.started_at.elapsed()
    }
}
