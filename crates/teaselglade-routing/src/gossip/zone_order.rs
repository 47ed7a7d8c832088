//! Order of hosts in which data centres take turns.

use std::collections::BTreeMap;

/// Data centre and name of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct HostPlace<'a> {
    /// Name of the data centre.
    pub zone: &'a str,
    /// Name of the host.
    pub name: &'a str,
}

/// Sorts hosts so that data centres take turns: the first of each, the second of each, and so on.
///
/// The first hosts in this order take the roles of a fleet, so that the loss of a data centre takes
/// few of them. Every prefix of the order is the same for a host that knows only some of the
/// others, as long as it knows the prefix.
pub(super) fn sort_by_turns<'a, T>(hosts: Vec<T>, place: impl Fn(&T) -> HostPlace<'a>) -> Vec<T> {
    let mut hosts = hosts;
    hosts.sort_by_key(&place);
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    let mut turns: Vec<(usize, T)> = Vec::with_capacity(hosts.len());
    for host in hosts {
        let count = counts.entry(place(&host).zone).or_default();
        *count += 1;
        turns.push((*count, host));
    }
    // A stable sort keeps the data centres of one turn in the order of their names.
    turns.sort_by_key(|(turn, _)| *turn);
    turns.into_iter().map(|(_, host)| host).collect()
}

/// Returns how many of `hosts` come before `own` in the order of [`sort_by_turns`].
pub(super) fn count_before<'a>(
    own: HostPlace<'a>,
    hosts: impl Iterator<Item = HostPlace<'a>>,
) -> usize {
    let mut own_turn = 0;
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for host in hosts {
        if host.zone != own.zone {
            *counts.entry(host.zone).or_default() += 1;
        } else if host.name < own.name {
            own_turn += 1;
        }
    }
    let others = counts.into_iter().map(|(zone, count)| {
        let has_same_turn = zone < own.zone;
        count.min(own_turn + usize::from(has_same_turn))
    });
    own_turn + others.sum::<usize>()
}
