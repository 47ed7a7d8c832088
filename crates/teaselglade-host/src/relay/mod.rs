//! Relays requests to backend servers and their responses to callers.

mod call_context;
mod call_handler;
mod engine_attempt;
mod event_pace;
mod header_filter;
mod pending_response;
mod plain_relay;
mod refusal_response;
mod response_body;
mod server_call;
mod server_check;
mod server_turn;
mod stream_relay;
mod stream_reservation;
mod zone_step;

pub use call_handler::serve_call;
pub use response_body::{AbortedResponse, ResponseBody};
pub(crate) use stream_reservation::UNLIMITED_ENGINE;

use hyper::Response;
use teaselglade_core::verdict::RequestRefusal;

/// HTTP response to a caller.
pub type CallerResponse = Response<ResponseBody>;

/// Result of relaying a request.
pub type Result<T> = std::result::Result<T, RequestRefusal>;
