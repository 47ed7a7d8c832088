//! Subsets of servers per entry host.

use std::collections::HashSet;

use proptest::prelude::*;
use teaselglade_core::id::HostName;
use teaselglade_placement::subset::{SUBSET_SERVERS, choose_subset};

fn servers(count: usize) -> Vec<HostName> {
    let numbers = 0..count;
    numbers
        .map(|number| HostName::new(format!("s{number}")))
        .collect()
}

proptest! {
    #[test]
    fn a_removed_server_replaces_at_most_one_server(owner in 0..400_u32, removed in 0..200_usize) {
        let owner = HostName::new(format!("e{owner}"));
        let all = servers(200);
        let mut remaining = all.clone();
        remaining.remove(removed);
        let before = choose_subset(&owner, &all, 64).into_iter().collect::<HashSet<_>>();
        let after = choose_subset(&owner, &remaining, 64).into_iter().collect::<HashSet<_>>();
        prop_assert!(after.difference(&before).count() <= 1);
    }
}

#[test]
fn at_the_design_size_every_server_is_in_a_subset() {
    const ENTRY_HOSTS: usize = 390;
    const SERVERS: usize = 1_200;
    let all = servers(SERVERS);
    let mut entry_hosts = vec![0; SERVERS];
    for owner in 0..ENTRY_HOSTS {
        let owner = HostName::new(format!("e{owner}"));
        for server in choose_subset(&owner, &all, SUBSET_SERVERS) {
            let number = server.as_str()[1..].parse::<usize>().expect("a number");
            entry_hosts[number] += 1;
        }
    }
    assert!(entry_hosts.iter().all(|count| *count >= 1));
}
