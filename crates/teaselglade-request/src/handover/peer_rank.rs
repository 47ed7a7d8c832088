//! Rendezvous hashing of requests to entry hosts.

use teaselglade_core::id::{HostName, RequestId};

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;
const MIX_FACTORS: [u64; 2] = [0xbf58_476d_1ce4_e5b9, 0x94d0_49bb_1331_11eb];
const MIX_SHIFTS: [u32; 3] = [30, 27, 31];

/// Ranks peers for a request by rendezvous hashing and returns the first `max_peers`.
///
/// A request's record is offered to peers, and its stream is searched for, in this order. Every
/// host that knows the same peers computes the same order. Adding or removing a peer changes the
/// first choice only for requests whose first choice is that peer.
///
/// # Examples
///
/// ```
/// use teaselglade_core::id::{HostName, RequestId};
/// use teaselglade_request::handover::rank_peers;
///
/// let peers = ["galway-e1", "sligo-e1", "ennis-e1"].map(HostName::new);
/// let ranked = rank_peers(RequestId::from_bits(7), &peers, 2);
/// assert_eq!(ranked.len(), 2);
/// let reversed = peers.iter().rev().cloned().collect::<Vec<_>>();
/// assert_eq!(rank_peers(RequestId::from_bits(7), &reversed, 2), ranked);
/// ```
#[must_use]
pub fn rank_peers(request: RequestId, peers: &[HostName], max_peers: usize) -> Vec<HostName> {
    let mut ranked = peers.iter().collect::<Vec<_>>();
    ranked.sort_by_key(|peer| std::cmp::Reverse((score(request, peer), peer.as_str())));
    ranked.dedup();
    ranked.into_iter().take(max_peers).cloned().collect()
}

/// Returns the hash in the low 32 bits of a host's request ids.
///
/// # Examples
///
/// ```
/// use teaselglade_core::id::HostName;
/// use teaselglade_request::handover::owner_hint;
///
/// assert_ne!(owner_hint(&HostName::new("galway-e1")), owner_hint(&HostName::new("galway-e2")));
/// ```
#[must_use]
pub fn owner_hint(host: &HostName) -> u32 {
    mix(hash_bytes(FNV_OFFSET, host.as_str().as_bytes())) as u32
}

fn score(request: RequestId, peer: &HostName) -> u64 {
    let seed = hash_bytes(FNV_OFFSET, &request.to_bits().to_be_bytes());
    mix(hash_bytes(seed, peer.as_str().as_bytes()))
}

fn hash_bytes(seed: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(seed, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME)
    })
}

/// Mixes the hash so that every output bit depends on all input bits.
const fn mix(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> MIX_SHIFTS[0])).wrapping_mul(MIX_FACTORS[0]);
    let hash = (hash ^ (hash >> MIX_SHIFTS[1])).wrapping_mul(MIX_FACTORS[1]);
    hash ^ (hash >> MIX_SHIFTS[2])
}
