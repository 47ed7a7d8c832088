//! Updates reach every host in time, with traffic per host that does not grow with the fleet.

use std::time::Duration;

use proptest::prelude::*;
use teaselglade_core::id::HostName;
use teaselglade_state::membership::list_poll_interval;

use super::virtual_fleet::{NetworkFaults, VirtualFleet};

const DESIGN_ENTRY_HOSTS: usize = 390;
const MAX_NOTICE_DELAY: Duration = Duration::from_secs(3);
const MAX_TABLE_DELAY: Duration = Duration::from_secs(6);
const MAX_BYTES_PER_SECOND: f64 = 6_000.0;

fn all_received_notice(fleet: &VirtualFleet, host: &HostName) -> bool {
    let mut nodes = fleet.nodes.iter().filter(|node| !node.is_down);
    nodes.all(|node| node.leaving_hosts.contains_key(host))
}

fn notice_reaches_all(fleet: &mut VirtualFleet, origin: usize) -> bool {
    fleet.notice(origin, "galway-s7");
    let end = fleet.now + MAX_NOTICE_DELAY;
    fleet.run_until(end, |fleet| {
        all_received_notice(fleet, &HostName::new("galway-s7"))
    })
}

#[test]
fn notice_reaches_the_design_size_in_3_seconds() {
    let mut fleet = VirtualFleet::new(DESIGN_ENTRY_HOSTS, 1, true);
    fleet.run_for(Duration::from_secs(2));
    assert!(notice_reaches_all(&mut fleet, 17));
}

#[test]
#[should_panic(expected = "notice_reaches_all")]
fn notice_is_late_without_pushed_updates() {
    let mut fleet = VirtualFleet::new(DESIGN_ENTRY_HOSTS, 1, false);
    fleet.run_for(Duration::from_secs(2));
    assert!(notice_reaches_all(&mut fleet, 17));
}

#[test]
fn table_is_active_at_the_design_size_in_6_seconds() {
    let mut fleet = VirtualFleet::new(DESIGN_ENTRY_HOSTS, 2, true);
    fleet.run_for(Duration::from_secs(2));
    fleet.activate_table(3, 1);
    let end = fleet.now + MAX_TABLE_DELAY;
    assert!(fleet.run_until(end, |fleet| {
        fleet.nodes.iter().all(|node| node.table_version == 1)
    }));
}

#[test]
fn idle_traffic_stays_within_the_budget_at_any_size() {
    for size in [8, 64, DESIGN_ENTRY_HOSTS] {
        let mut fleet = VirtualFleet::new(size, 3, true);
        let duration = Duration::from_secs(30);
        fleet.run_for(duration);
        for node in &fleet.nodes {
            let sent = node.machine.counts().sent_bytes as f64 / duration.as_secs_f64();
            assert!(
                sent <= MAX_BYTES_PER_SECOND,
                "{sent} bytes a second at {size}"
            );
        }
    }
}

proptest! {
    #[test]
    fn notice_spreads_despite_loss_duplication_and_replacement(
        size in 4_usize..24,
        seed in any::<u64>(),
        loss in 0.0_f64..0.2,
        duplication in 0.0_f64..0.5,
        replaced in 1_usize..4,
    ) {
        let mut fleet = VirtualFleet::new(size, seed, true);
        fleet.faults = NetworkFaults { loss, duplication, ..NetworkFaults::default() };
        fleet.run_for(Duration::from_secs(3));
        fleet.notice(0, "galway-s7");
        fleet.activate_table(0, 5);
        fleet.run_for(Duration::from_millis(300));
        (1..=replaced).for_each(|index| fleet.replace(index));
        fleet.run_for(Duration::from_secs(12));
        let host = HostName::new("galway-s7");
        prop_assert!(all_received_notice(&fleet, &host));
        prop_assert!(fleet.nodes.iter().all(|node| node.table_version == 5));
    }
}

/// Polling a host list of the design size uses at most half of the traffic budget.
#[test]
fn host_list_is_read_within_the_budget() {
    const DESIGN_HOSTS: usize = 390 + 1_200;
    const BYTES_PER_LISTED_HOST: f64 = 280.0;
    let interval = list_poll_interval(DESIGN_HOSTS).as_secs_f64();
    let rate = DESIGN_HOSTS as f64 * BYTES_PER_LISTED_HOST / interval;
    assert!(rate <= MAX_BYTES_PER_SECOND / 2.0, "{rate} bytes a second");
}
