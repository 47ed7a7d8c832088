//! Tests of the decisions about one request.

mod final_answers;
mod handover;
mod retry;
mod streams;
#[path = "../support/mod.rs"]
mod support;
