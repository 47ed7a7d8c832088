//! Failed hosts are detected, recovered hosts return, and leaving notices are never undone.

use std::time::Duration;

use teaselglade_core::id::{HostIncarnation, HostName};
use teaselglade_state::membership::{MemberLiveness, MembershipEvent};

use super::virtual_fleet::{VirtualFleet, listed_host};

fn live_counts(fleet: &VirtualFleet) -> Vec<usize> {
    let up = fleet.nodes.iter().filter(|node| !node.is_down);
    up.map(|node| node.machine.live_members().count()).collect()
}

#[test]
fn dead_host_is_marked_failed_at_every_host() {
    let mut fleet = VirtualFleet::new(24, 1, true);
    fleet.run_for(Duration::from_secs(3));
    fleet.nodes[5].is_down = true;
    fleet.run_for(Duration::from_secs(30));
    let name = fleet.nodes[5].name.clone();
    for node in fleet.nodes.iter().filter(|node| !node.is_down) {
        let entry = node.machine.member(&name).expect("remembered");
        assert_eq!(entry.liveness, MemberLiveness::Failed);
    }
}

#[test]
fn replaced_host_rejoins_without_the_host_list() {
    let mut fleet = VirtualFleet::new(24, 1, true);
    fleet.run_for(Duration::from_secs(3));
    fleet.nodes[5].is_down = true;
    fleet.run_for(Duration::from_secs(30));
    fleet.replace(5);
    fleet.run_for(Duration::from_secs(10));
    assert!(live_counts(&fleet).iter().all(|count| *count == 23));
}

#[test]
fn regions_converge_after_an_hour_long_partition() {
    let mut fleet = VirtualFleet::new(32, 4, true);
    fleet.run_for(Duration::from_secs(3));
    fleet
        .nodes
        .iter_mut()
        .take(8)
        .for_each(|node| node.partition = 1);
    fleet.run_for(Duration::from_mins(2));
    fleet.notice(0, "galway-s7");
    fleet.activate_table(20, 9);
    fleet.run_for(Duration::from_mins(58));
    let counts = live_counts(&fleet);
    assert!(counts[..8].iter().all(|count| *count == 7), "{counts:?}");
    assert!(counts[8..].iter().all(|count| *count == 23), "{counts:?}");
    fleet.nodes.iter_mut().for_each(|node| node.partition = 0);
    fleet.run_for(Duration::from_mins(2));
    let counts = live_counts(&fleet);
    assert!(counts.iter().all(|count| *count == 31), "{counts:?}");
    let host = HostName::new("galway-s7");
    assert!(
        fleet
            .nodes
            .iter()
            .all(|node| node.leaving_hosts.contains_key(&host))
    );
    assert!(fleet.nodes.iter().all(|node| node.table_version == 9));
}

#[test]
fn stale_host_list_never_undoes_a_leaving_notice() {
    let mut fleet = VirtualFleet::new(6, 5, true);
    fleet.run_for(Duration::from_secs(2));
    let mut leaving_host = listed_host(&fleet.nodes[3]);
    leaving_host.leaving = true;
    fleet.handle(0, MembershipEvent::HostList(vec![leaving_host]));
    let stale_list = fleet.host_list();
    for index in 0..6 {
        fleet.handle(index, MembershipEvent::HostList(stale_list.clone()));
    }
    fleet.run_for(Duration::from_secs(5));
    for index in 0..6 {
        fleet.handle(index, MembershipEvent::HostList(stale_list.clone()));
    }
    let name = fleet.nodes[3].name.clone();
    for node in &fleet.nodes {
        assert!(node.machine.is_leaving(&name, HostIncarnation(1)));
        assert!(!node.machine.is_leaving(&name, HostIncarnation(2)));
    }
}

#[test]
fn host_that_was_frozen_refutes_its_failure() {
    let mut fleet = VirtualFleet::new(12, 6, true);
    fleet.run_for(Duration::from_secs(3));
    fleet.nodes[2].is_down = true;
    fleet.run_for(Duration::from_mins(5));
    fleet.nodes[2].is_down = false;
    fleet.handle(2, MembershipEvent::Wake);
    fleet.run_for(Duration::from_secs(30));
    assert!(fleet.nodes[2].machine.counts().refutations > 0);
    assert!(live_counts(&fleet).iter().all(|count| *count == 11));
}
