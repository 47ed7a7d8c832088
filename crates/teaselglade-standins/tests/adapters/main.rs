//! Tests the adapters of `teaselglade-net` against the stand-ins, over sockets.

mod engine;
mod host_list;
mod log;
mod support;
