//! Hash that identifies requests with the same content.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::engine::PromptShape;

const HEX_RADIX: u32 = 16;
const HEX_DIGITS: usize = 32;

/// Content by which a request is the same as another one.
#[derive(Debug, Clone, Copy)]
pub struct RequestContent<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Host name in lower case, without a port.
    pub host: &'a str,
    /// Path with the query.
    pub target: &'a str,
    /// Name of the caller's organisation; empty if there is none.
    pub organisation: &'a str,
    /// Whole body.
    pub body: &'a [u8],
    /// Prompt that the request declares; parts that are named elsewhere need not be in the body.
    pub prompt: Option<&'a PromptShape>,
}

/// Hash that identifies requests with the same content, at any host.
///
/// It is cryptographic, so that no caller finds a second content with the hash of a first one.
///
/// # Examples
///
/// ```
/// use teaselglade_routing::crash::{RequestContent, RequestHash};
///
/// let content = RequestContent {
///     method: "GET",
///     host: "shop.example",
///     target: "/tickets/7",
///     organisation: "kati",
///     body: b"",
///     prompt: None,
/// };
/// let other = RequestContent { organisation: "rafo", ..content };
/// assert_eq!(RequestHash::of(&content), RequestHash::of(&content));
/// assert_ne!(RequestHash::of(&content), RequestHash::of(&other));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestHash(u64, u64);

impl RequestHash {
    /// Returns the hash of a request's content.
    #[must_use]
    pub fn of(content: &RequestContent<'_>) -> Self {
        let parts = [
            content.method.as_bytes(),
            content.host.as_bytes(),
            content.target.as_bytes(),
            content.organisation.as_bytes(),
            content.body,
        ];
        let mut hasher = blake3::Hasher::new();
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        for part in content.prompt.iter().flat_map(|prompt| &prompt.parts) {
            hasher.update(&part.id.to_le_bytes());
        }
        let mut output = [0; 16];
        hasher.finalize_xof().fill(&mut output);
        let bits = u128::from_le_bytes(output);
        Self((bits >> u64::BITS) as u64, bits as u64)
    }

    /// Returns the hash that 32 hexadecimal digits name; `None` if they are no hash.
    #[must_use]
    pub fn from_hex(digits: &str) -> Option<Self> {
        if digits.len() != HEX_DIGITS || !digits.is_ascii() {
            return None;
        }
        let (high, low) = digits.split_at(HEX_DIGITS / 2);
        let high = u64::from_str_radix(high, HEX_RADIX).ok()?;
        let low = u64::from_str_radix(low, HEX_RADIX).ok()?;
        Some(Self(high, low))
    }

    pub(super) const fn selector(self) -> u64 {
        self.0
    }
}

impl fmt::Display for RequestHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}{:016x}", self.0, self.1)
    }
}
