//! Tests of one kind of failure each.

use std::time::Duration;

use teaselglade_state::lease::LeaseTimings;

use crate::cluster::{LeaseCluster, LogFaults};

fn pair(seed: u64) -> LeaseCluster {
    let mut cluster = LeaseCluster::new(LeaseTimings::default(), seed);
    cluster.start("a", 1.0, Duration::ZERO);
    cluster.run(Duration::from_secs(5));
    cluster.start("b", 1.0, Duration::from_hours(1));
    cluster.run(Duration::from_secs(30));
    cluster
}

#[test]
fn paused_holder_is_replaced_and_resumes_without_the_lease() {
    let mut cluster = pair(1);
    cluster.pause(0, Duration::from_mins(1));
    cluster.run(Duration::from_secs(59));
    assert_eq!(cluster.active().first().map(|(node, _)| *node), Some(1));
    // `run` checks after every event that the resumed node does not act.
    cluster.run(Duration::from_mins(1));
    assert_eq!(cluster.active().first().map(|(node, _)| *node), Some(1));
}

#[test]
fn outage_longer_than_the_term_stops_the_holder() {
    let mut cluster = pair(2);
    let timings = LeaseTimings::default();
    cluster.faults.is_down = true;
    cluster.run(timings.term.saturating_sub(timings.margin) + Duration::from_millis(100));
    assert!(cluster.active().is_empty());
    cluster.run(Duration::from_hours(1));
    assert!(cluster.active().is_empty());
    cluster.faults.is_down = false;
    cluster.run(timings.takeover_wait);
    assert_eq!(cluster.active().len(), 1);
}

#[test]
fn every_lost_response_is_resolved_by_reading() {
    let mut cluster = pair(3);
    let held = cluster.held_leases.clone();
    cluster.faults = LogFaults {
        lost_responses: 1.0,
        ..LogFaults::default()
    };
    cluster.run(Duration::from_mins(10));
    assert_eq!(cluster.held_leases, held);
    assert_eq!(cluster.active().len(), 1);
}

#[test]
fn released_lease_is_taken_over_without_the_wait() {
    let mut cluster = pair(4);
    // The log no longer holds the grant record.
    cluster.run(Duration::from_hours(1));
    cluster.drop_old(3);
    cluster.stop(0);
    let timings = LeaseTimings::default();
    cluster.run(timings.read_interval * 2);
    assert_eq!(cluster.active().first().map(|(node, _)| *node), Some(1));
}

#[test]
fn retention_that_drops_every_record_keeps_one_holder() {
    let mut cluster = pair(5);
    cluster.drop_old(0);
    cluster.run(Duration::from_mins(2));
    assert_eq!(cluster.active().len(), 1);
}

#[test]
fn steady_lease_costs_one_append_per_renewal() {
    let mut cluster = pair(6);
    let before = cluster.appends;
    cluster.run(Duration::from_mins(10));
    let appends = cluster.appends - before;
    // One renewal every 4 s for 600 s.
    assert!(appends <= 151, "{appends} appends");
}
