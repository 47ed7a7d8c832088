//! Decisions about the life of one request.
//!
//! Every type here is a machine without sockets, clock or tasks: an event and the present time go
//! in, actions come out. Adapters carry the actions out and turn their results into events.

pub mod handover;
pub mod retry;
pub mod stream;
