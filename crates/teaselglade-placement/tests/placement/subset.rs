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
    fn a_lost_server_changes_one_place(owner in 0..400_u32, lost in 0..200_usize) {
        let owner = HostName::new(format!("e{owner}"));
        let all = servers(200);
        let mut fewer = all.clone();
        fewer.remove(lost);
        let before = choose_subset(&owner, &all, 64).into_iter().collect::<HashSet<_>>();
        let after = choose_subset(&owner, &fewer, 64).into_iter().collect::<HashSet<_>>();
        prop_assert!(after.difference(&before).count() <= 1);
    }
}

#[test]
fn at_the_design_size_every_server_has_an_entry_host() {
    const ENTRY_HOSTS: usize = 390;
    const SERVERS: usize = 1_200;
    let all = servers(SERVERS);
    let mut users = vec![0; SERVERS];
    for owner in 0..ENTRY_HOSTS {
        let owner = HostName::new(format!("e{owner}"));
        for server in choose_subset(&owner, &all, SUBSET_SERVERS) {
            let number = server.as_str()[1..].parse::<usize>().expect("a number");
            users[number] += 1;
        }
    }
    assert!(users.iter().all(|count| *count >= 1));
}
