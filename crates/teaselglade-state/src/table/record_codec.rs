//! Encodes and decodes records of the table's stream.

use bytes::Bytes;
use teaselglade_wire::TableRecord;
use teaselglade_wire::codec::{from_json, to_json};

use super::Result;

/// Most bytes of a table's comma-separated values.
pub const MAX_TABLE_BYTES: usize = 64 * 1024;

/// Encodes a record for the log.
///
/// # Errors
///
/// Fails where the record holds a value that the format cannot carry.
pub fn encode_record(record: &TableRecord) -> Result<Bytes> {
    to_json(record)
}

/// Decodes a record of the log.
///
/// # Errors
///
/// Fails where the bytes are no record of the table's stream.
///
/// # Examples
///
/// ```
/// use teaselglade_state::table::decode_record;
///
/// assert!(decode_record(b"{\"other\":1}").is_err());
/// ```
pub fn decode_record(body: &[u8]) -> Result<TableRecord> {
    from_json(body)
}
