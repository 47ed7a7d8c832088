//! Tests of the HTTP server.

mod burst;
