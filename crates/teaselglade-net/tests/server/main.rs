//! Tests of the HTTP server.

mod bodies;
mod burst;
mod stop;
