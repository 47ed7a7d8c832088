//! Calls with an idempotency key and their state in a shard's state machine.

mod call_answer;
mod call_phase;
mod keyed_call;

pub use call_answer::{CallAnswer, CallResult};
pub(crate) use call_phase::{AppendState, CallPhase, PendingCall};
pub use keyed_call::{CallId, KeyedCall};
