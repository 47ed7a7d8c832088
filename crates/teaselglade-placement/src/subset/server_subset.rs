//! Rendezvous choice of an entry host's servers.

use teaselglade_core::id::HostName;

/// Servers of one service that an entry host works with.
pub const SUBSET_SERVERS: usize = 32;

const MIX_FIRST: u64 = 0xbf58_476d_1ce4_e5b9;
const MIX_SECOND: u64 = 0x94d0_49bb_1331_11eb;
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Returns the weight of a pair of names; the same in every process.
///
/// # Examples
///
/// ```
/// use teaselglade_placement::subset::rendezvous_weight;
///
/// assert_eq!(rendezvous_weight("e1", "s1"), rendezvous_weight("e1", "s1"));
/// assert_ne!(rendezvous_weight("e1", "s1"), rendezvous_weight("e1", "s2"));
/// ```
#[must_use]
pub fn rendezvous_weight(owner: &str, item: &str) -> u64 {
    let bytes = owner.bytes().chain([0]).chain(item.bytes());
    let folded = bytes.fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    });
    let mixed = (folded ^ (folded >> 30)).wrapping_mul(MIX_FIRST);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(MIX_SECOND);
    mixed ^ (mixed >> 31)
}

/// Returns the servers of one service that the entry host `owner` works with.
///
/// Services of at most `most` servers are taken whole. A server that comes or goes changes at
/// most one place of the subset.
///
/// # Examples
///
/// ```
/// use teaselglade_core::id::HostName;
/// use teaselglade_placement::subset::choose_subset;
///
/// let servers = (0..100).map(|n| HostName::new(format!("s{n}"))).collect::<Vec<_>>();
/// let subset = choose_subset(&HostName::new("e1"), &servers, 10);
/// assert_eq!(subset.len(), 10);
/// ```
#[must_use]
pub fn choose_subset<'a>(
    owner: &HostName,
    servers: &'a [HostName],
    most: usize,
) -> Vec<&'a HostName> {
    let mut ranked = servers.iter().collect::<Vec<_>>();
    if ranked.len() > most {
        ranked.sort_by_cached_key(|server| {
            std::cmp::Reverse(rendezvous_weight(owner.as_str(), server.as_str()))
        });
        ranked.truncate(most);
    }
    ranked
}
