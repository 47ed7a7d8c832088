//! State machines of a request: streams, handovers and retries.
//!
//! The machines use no sockets, clocks or tasks. Each takes an event with the current time and
//! returns actions. Adapters perform the actions and report their results as events.

pub mod handover;
pub mod retry;
pub mod stream;
