//! Digest that distinguishes requests sent with the same key.

use std::fmt;
use std::str::FromStr;

use super::stable_hash::StableHash;

const HEX_RADIX: u32 = 16;

/// Error for text that is not a digest.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DigestError;

impl fmt::Display for DigestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("expected a digest of 32 hexadecimal digits")
    }
}

impl std::error::Error for DigestError {}

/// Digest of a request's method, path and body.
///
/// Detects accidental reuse of a key by an organisation's own callers. The hash is not
/// cryptographic, so it gives no protection against forged requests.
///
/// # Examples
///
/// ```
/// use teaselglade_claims::key::RequestDigest;
///
/// let first = RequestDigest::of("POST", "/tickets", b"ring");
/// assert_eq!(first.to_string().parse(), Ok(first));
/// assert_ne!(first, RequestDigest::of("POST", "/tickets", b"chain"));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestDigest(u128);

impl RequestDigest {
    /// Returns the digest of a request.
    #[must_use]
    pub fn of(method: &str, path: &str, body: &[u8]) -> Self {
        let hash = StableHash::new()
            .part(method.as_bytes())
            .part(path.as_bytes())
            .part(body);
        Self(hash.finish())
    }
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for RequestDigest {
    type Err = DigestError;

    fn from_str(text: &str) -> Result<Self, DigestError> {
        let bits = u128::from_str_radix(text, HEX_RADIX).map_err(|_invalid| DigestError)?;
        Ok(Self(bits))
    }
}
