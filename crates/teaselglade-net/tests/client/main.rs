//! Tests of the HTTP client.

mod invalid_responses;
