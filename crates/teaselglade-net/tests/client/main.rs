//! Tests of the HTTP client.

mod host_list;
mod invalid_responses;
