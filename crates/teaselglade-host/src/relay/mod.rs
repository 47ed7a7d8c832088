//! Relays requests to backend servers and answers to callers.

mod answer_body;
mod call_context;
mod call_intake;
mod header_filter;
mod plain_relay;
mod refusal_answer;
mod server_call;
mod stream_relay;
mod stream_seat;

pub use answer_body::{AnswerBody, RelayCut};
pub use call_intake::serve_call;

use hyper::Response;
use teaselglade_core::verdict::RequestRefusal;

/// Answer to a caller.
pub type CallerAnswer = Response<AnswerBody>;

/// Result of relaying a request.
pub type Result<T> = std::result::Result<T, RequestRefusal>;
