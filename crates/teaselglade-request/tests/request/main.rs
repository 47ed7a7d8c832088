//! Tests of the decisions about one request.

mod retry;
