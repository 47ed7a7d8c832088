//! Encodes and decodes messages as JSON or `MessagePack`.

mod codec_error;
mod json;
mod msgpack;

pub use codec_error::CodecError;
pub use json::{from_json, to_json};
pub use msgpack::{from_msgpack, to_msgpack};

/// Result of encoding or decoding a message.
pub type Result<T> = std::result::Result<T, CodecError>;
