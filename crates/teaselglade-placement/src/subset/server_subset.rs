//! Choice of an entry host's servers by rendezvous hashing.

use teaselglade_core::id::HostName;

/// Maximum servers of one service that an entry host dispatches to.
pub const SUBSET_SERVERS: usize = 32;

const MIX_MULTIPLIER_1: u64 = 0xbf58_476d_1ce4_e5b9;
const MIX_MULTIPLIER_2: u64 = 0x94d0_49bb_1331_11eb;
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Returns the rendezvous weight of a pair of names.
///
/// The weight is equal in every process.
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
    let hash = bytes.fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    });
    let mixed = (hash ^ (hash >> 30)).wrapping_mul(MIX_MULTIPLIER_1);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(MIX_MULTIPLIER_2);
    mixed ^ (mixed >> 31)
}

/// Returns the servers of one service that the entry host `owner` dispatches to.
///
/// All servers are returned if there are at most `max_servers`. Adding or removing a server
/// replaces at most one server of the subset.
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
    max_servers: usize,
) -> Vec<&'a HostName> {
    let mut ranked = servers.iter().collect::<Vec<_>>();
    if ranked.len() > max_servers {
        ranked.sort_by_cached_key(|server| {
            std::cmp::Reverse(rendezvous_weight(owner.as_str(), server.as_str()))
        });
        ranked.truncate(max_servers);
    }
    ranked
}
