//! What ended servers may speak against.

use std::fmt;
use std::str::FromStr;

use serde::de::value::SeqAccessDeserializer;
use serde::de::{SeqAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize};

use super::RequestHash;

/// Prefix that tells requests from prompt parts in text.
const REQUEST_PREFIX: &str = "request-";
const HEX_RADIX: u32 = 16;

/// Error for text that names no subject.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SubjectError {
    text: String,
}

impl fmt::Display for SubjectError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "`{}` is neither a part's id in hexadecimal nor `{REQUEST_PREFIX}` with 32 digits",
            self.text
        )
    }
}

impl std::error::Error for SubjectError {}

/// What ended servers may speak against: a prompt part, or a request as a whole.
///
/// Parts are serialised as plain numbers, as before requests were subjects.
///
/// # Examples
///
/// ```
/// use teaselglade_routing::crash::CrashSubject;
///
/// assert_eq!("5c1e".parse(), Ok(CrashSubject::Part(0x5c1e)));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(untagged)]
pub enum CrashSubject {
    /// Prompt part, by its id.
    Part(u64),
    /// Request with its whole content.
    Request(RequestHash),
}

impl CrashSubject {
    /// Returns the number that selects a server for the subject, the same on all hosts.
    #[must_use]
    pub const fn selector(self) -> u64 {
        match self {
            Self::Part(id) => id,
            Self::Request(hash) => hash.selector(),
        }
    }
}

impl fmt::Display for CrashSubject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Part(id) => write!(f, "{id:x}"),
            Self::Request(hash) => write!(f, "{REQUEST_PREFIX}{hash}"),
        }
    }
}

impl FromStr for CrashSubject {
    type Err = SubjectError;

    fn from_str(text: &str) -> Result<Self, SubjectError> {
        let subject = match text.strip_prefix(REQUEST_PREFIX) {
            Some(digits) => RequestHash::from_hex(digits).map(Self::Request),
            None => u64::from_str_radix(text, HEX_RADIX).ok().map(Self::Part),
        };
        subject.ok_or_else(|| SubjectError {
            text: text.to_owned(),
        })
    }
}

// The derived implementation for untagged enums would buffer whatever a datagram holds.
impl<'de> Deserialize<'de> for CrashSubject {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(SubjectVisitor)
    }
}

struct SubjectVisitor;

impl<'de> Visitor<'de> for SubjectVisitor {
    type Value = CrashSubject;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a part's id or the hash of a request")
    }

    fn visit_u64<E>(self, v: u64) -> Result<CrashSubject, E> {
        Ok(CrashSubject::Part(v))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, seq: A) -> Result<CrashSubject, A::Error> {
        let hash = RequestHash::deserialize(SeqAccessDeserializer::new(seq))?;
        Ok(CrashSubject::Request(hash))
    }
}
