//! Published table in compressed form.

use std::io::{self, Read, Write};

use bytes::Bytes;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::{Deserialize, Serialize};

/// Maximum size of a table as published.
const MAX_TABLE_BYTES: u64 = 16 * 1024 * 1024;

/// Published table, compressed with raw DEFLATE.
///
/// Hosts pass tables on in this form: a table lists thousands of similar routes, and the links of
/// some hosts are narrow.
///
/// # Examples
///
/// ```
/// use bytes::Bytes;
/// use teaselglade_host::port::PackedTable;
///
/// let raw = Bytes::from("{\"name\":\"peek\"}".repeat(100));
/// let packed = PackedTable::pack(&raw);
/// assert!(packed.size() < raw.len() / 10);
/// assert_eq!(packed.unpack()?, raw);
/// # Ok::<(), std::io::Error>(())
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackedTable(Bytes);

impl PackedTable {
    /// Compresses a table.
    #[must_use]
    pub fn pack(raw: &[u8]) -> Self {
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        // Writes to memory do not fail.
        let written = encoder.write_all(raw).and_then(|()| encoder.finish());
        Self(written.unwrap_or_default().into())
    }

    /// Returns the table as published.
    ///
    /// # Errors
    ///
    /// Fails if the compressed bytes are damaged or the table is larger than 16 MiB.
    pub fn unpack(&self) -> io::Result<Bytes> {
        let mut raw = Vec::new();
        let mut decoder = DeflateDecoder::new(&*self.0).take(MAX_TABLE_BYTES + 1);
        decoder.read_to_end(&mut raw)?;
        if raw.len() as u64 > MAX_TABLE_BYTES {
            let detail = format!("the table is larger than {MAX_TABLE_BYTES} bytes");
            return Err(io::Error::new(io::ErrorKind::InvalidData, detail));
        }
        Ok(raw.into())
    }

    /// Returns the compressed size in bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        self.0.len()
    }
}
