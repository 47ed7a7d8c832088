//! Points in time, which decision code receives from its caller.

mod timestamp;

pub use timestamp::Timestamp;
