//! Adapters to the clocks of the operating system.

mod suspend_clock;
mod system_clock;

pub use suspend_clock::SuspendClock;
pub use system_clock::SystemClock;
