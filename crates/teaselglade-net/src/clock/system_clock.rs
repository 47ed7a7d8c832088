//! Clock that is anchored once and then monotonic.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use teaselglade_core::port::ClockPort;
use teaselglade_core::time::Timestamp;

/// Clock of one process: wall time at start plus monotonic time since.
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
    anchor: Timestamp,
    started: Instant,
}

impl SystemClock {
    /// Anchors a clock at the present wall time.
    #[must_use]
    pub fn start() -> Self {
        let wall = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            anchor: Timestamp::ZERO + wall,
            started: Instant::now(),
        }
    }
}

impl ClockPort for SystemClock {
    fn now(&self) -> Timestamp {
        self.anchor + self.started.elapsed()
    }
}
