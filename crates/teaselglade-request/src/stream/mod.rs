//! State machine of one streamed model request.

mod active_attempt;
mod attempt_cause;
mod attempt_plan;
mod caller_session;
mod stream_action;
mod stream_counters;
mod stream_event;
mod stream_limits;
mod stream_machine;
mod stream_record;
mod stream_request;

pub use attempt_cause::AttemptCause;
pub use caller_session::CallerSession;
pub use stream_action::{PlacementPurpose, StreamAction};
pub use stream_counters::StreamCounters;
pub use stream_event::StreamEvent;
pub use stream_limits::StreamLimits;
pub use stream_machine::StreamMachine;
pub use stream_record::StreamRecord;
pub use stream_request::StreamRequest;
