//! The system's clock.

mod system_clock;

pub use system_clock::SystemClock;
