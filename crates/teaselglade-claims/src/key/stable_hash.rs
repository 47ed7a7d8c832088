//! Hash that is the same on every host and in every version: 128-bit FNV-1a.

const OFFSET_BASIS: u128 = 0x6c62_272e_07bb_0142_62b8_2175_6295_c58d;
const PRIME: u128 = 0x0000_0000_0100_0000_0000_0000_0000_013b;

/// Incremental hash over parts; the length of each part follows its bytes.
#[derive(Debug, Clone, Copy)]
pub(super) struct StableHash(u128);

impl StableHash {
    pub(super) const fn new() -> Self {
        Self(OFFSET_BASIS)
    }

    pub(super) fn part(self, bytes: &[u8]) -> Self {
        let length = (bytes.len() as u64).to_le_bytes();
        self.bytes(bytes).bytes(&length)
    }

    pub(super) const fn finish(self) -> u128 {
        self.0
    }

    fn bytes(self, bytes: &[u8]) -> Self {
        let step = |hash: u128, byte: &u8| (hash ^ u128::from(*byte)).wrapping_mul(PRIME);
        Self(bytes.iter().fold(self.0, step))
    }
}
