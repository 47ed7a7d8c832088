//! Points in time that decisions are given by their caller.

mod timestamp;

pub use timestamp::Timestamp;
