//! Assignment of entries to slices, whose digests peers compare.

use teaselglade_core::id::HostName;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;
const ENTRIES_PER_SLICE: usize = 8;

/// Returns an FNV-1a hash that is the same in every process.
pub(super) fn stable_hash(parts: &[&[u8]]) -> u64 {
    let bytes = parts.iter().flat_map(|part| part.iter());
    let hash = bytes.fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME)
    });
    // The low bits choose the slice, so the high bits are folded in.
    hash ^ (hash >> 32)
}

pub(super) fn name_hash(name: &HostName) -> u64 {
    stable_hash(&[name.as_str().as_bytes()])
}

/// Returns the number of slices for this many entries.
pub(super) fn slice_count(entries: usize) -> u16 {
    let slices = entries.div_ceil(ENTRIES_PER_SLICE).max(1);
    u16::try_from(slices).unwrap_or(u16::MAX)
}

/// Returns the index of the slice that a name belongs to.
pub(super) const fn slice_of(name_hash: u64, slices: u16) -> u16 {
    (name_hash % slices as u64) as u16
}
