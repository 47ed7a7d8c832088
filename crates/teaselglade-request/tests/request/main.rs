//! Tests of the state machines of a request.

mod final_response;
mod handover;
mod retry;
mod streams;
#[path = "../support/mod.rs"]
mod support;
