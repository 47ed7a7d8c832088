//! JSON encoding of the records of the table's stream.

use bytes::Bytes;
use teaselglade_wire::TableRecord;
use teaselglade_wire::codec::{from_json, to_json};

use super::Result;

/// Maximum size of a table's comma-separated values, in bytes.
pub const MAX_TABLE_BYTES: usize = 64 * 1024;

/// Encodes a record of the table's stream.
///
/// # Errors
///
/// Returns an error if the record holds a value that JSON cannot represent.
pub fn encode_record(record: &TableRecord) -> Result<Bytes> {
    to_json(record)
}

/// Decodes a record of the table's stream.
///
/// # Errors
///
/// Returns an error if the bytes are not a record of the table's stream.
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
