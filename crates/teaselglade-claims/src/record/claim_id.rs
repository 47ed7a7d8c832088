//! Id of a claim.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

const HEX_RADIX: u32 = 16;

/// Id of a claim: 128 random bits, never reused.
///
/// # Examples
///
/// ```
/// use teaselglade_claims::record::ClaimId;
///
/// let claim = ClaimId::from_bits(7);
/// assert_eq!(claim.to_string().parse(), Ok(claim));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimId(u128);

impl ClaimId {
    /// Creates an id from 128 random bits.
    #[must_use]
    pub const fn from_bits(bits: u128) -> Self {
        Self(bits)
    }
}

impl fmt::Display for ClaimId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for ClaimId {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        u128::from_str_radix(text, HEX_RADIX).map(Self)
    }
}
