//! Handover of streams between entry hosts, and resumption of a stream at any of them.

mod handover_driver;
mod holder_finder;
mod own_departure;
mod peer_streams;
mod record_codec;
mod stream_relay;

pub(crate) use handover_driver::HandoverDriver;
pub(crate) use holder_finder::find_holder;
pub(crate) use own_departure::{OwnListing, leave_on_host_list, leave_on_notice};
pub(crate) use peer_streams::{accept_stream, query_stream, read_stream};
pub(crate) use stream_relay::relay_stream;

/// Path that accepts a stream record.
pub(crate) const ACCEPT_PATH: &str = "/peer/streams/accept";
/// Path that returns whether a host holds a stream.
pub(crate) const QUERY_PATH: &str = "/peer/streams/ask";
/// Path that returns tokens of a stream.
pub(crate) const READ_PATH: &str = "/peer/streams/read";
