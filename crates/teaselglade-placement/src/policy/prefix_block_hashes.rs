//! Hashes of a prompt's prefix blocks.

use std::hash::Hasher;

/// Number of tokens in one prefix block.
pub const PREFIX_BLOCK_TOKENS: u32 = 32;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

#[derive(Debug)]
struct PrefixHasher(u64);

impl Hasher for PrefixHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
        }
    }
}

/// Returns one hash per whole block of the prompt.
///
/// Each hash covers all tokens up to the end of its block.
///
/// Two prompts share as many leading hashes as they share leading blocks. The hash is equal in
/// every process.
///
/// # Examples
///
/// ```
/// use teaselglade_placement::policy::prefix_block_hashes;
///
/// let intake = "ring ".repeat(64);
/// let repair = format!("{}chain", "ring ".repeat(40));
/// let (intake, repair) = (
///     prefix_block_hashes(intake.split_whitespace()),
///     prefix_block_hashes(repair.split_whitespace()),
/// );
/// assert_eq!(intake.len(), 2);
/// assert_eq!(intake[0], repair[0]);
/// ```
pub fn prefix_block_hashes<'a>(tokens: impl IntoIterator<Item = &'a str>) -> Vec<u64> {
    let mut hasher = PrefixHasher(FNV_OFFSET);
    let mut block_hashes = Vec::new();
    for (index, token) in tokens.into_iter().enumerate() {
        hasher.write(token.as_bytes());
        hasher.write(b" ");
        if (index as u32 + 1).is_multiple_of(PREFIX_BLOCK_TOKENS) {
            block_hashes.push(hasher.finish());
        }
    }
    block_hashes
}
