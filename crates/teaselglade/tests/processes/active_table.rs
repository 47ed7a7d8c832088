//! Distribution of the table: publications, a log outage and a frozen host.

use std::time::Duration;

use hyper::Method;
use teaselglade_net::client::HttpRequest;
use teaselglade_standins::fleet::FleetPlan;
use tokio::time::sleep;

use super::harness::TestFleet;

const ENTRIES: usize = 3;
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const MAX_POLLS: u32 = 400;
/// Time for the new host to poll its peers for the table's head.
const HEAD_POLL_TIME: Duration = Duration::from_secs(4);
const LOG_OUTAGE: &str = "{\"down\":true}";
const LOG_RECOVERED: &str = "{}";

/// Waits until a version is active at the entry daemons; none may revert meanwhile.
async fn wait_for_version(fleet: &TestFleet, entries: &[usize], version: u64) {
    let mut highest = vec![0; fleet.entries.len()];
    for _ in 0..MAX_POLLS {
        for index in entries {
            let active = fleet.status(&fleet.entries[*index]).await.table_version;
            assert!(
                active >= highest[*index],
                "entry {index} reverted to {active}"
            );
            highest[*index] = active;
        }
        if entries.iter().all(|index| highest[*index] == version) {
            return;
        }
        sleep(POLL_INTERVAL).await;
    }
    panic!("version {version} is not active: {highest:?}");
}

async fn is_ready(fleet: &TestFleet, entry: usize) -> bool {
    fleet.status(&fleet.entries[entry]).await.ready
}

#[tokio::test(flavor = "multi_thread")]
async fn a_publication_becomes_active_on_every_host() {
    let fleet = TestFleet::start(FleetPlan::corrib(), ENTRIES).await;
    wait_for_version(&fleet, &[0, 1, 2], 1).await;
    for version in 2..5 {
        fleet.publish_table().await;
        wait_for_version(&fleet, &[0, 1, 2], version).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_new_host_gets_the_table_head_from_peers_during_a_log_outage() {
    let mut fleet = TestFleet::start(FleetPlan::corrib(), ENTRIES).await;
    fleet.publish_table().await;
    wait_for_version(&fleet, &[0, 1, 2], 2).await;
    fleet.set_faults(fleet.platform.log, LOG_OUTAGE).await;
    for entry in &fleet.entries {
        entry.process.signal("STOP");
    }
    fleet.start_entry(ENTRIES).await;
    sleep(HEAD_POLL_TIME).await;
    assert!(
        !is_ready(&fleet, ENTRIES).await,
        "ready without the table head"
    );
    for entry in &fleet.entries[..ENTRIES] {
        entry.process.signal("CONT");
    }
    wait_for_version(&fleet, &[ENTRIES], 2).await;
    assert!(is_ready(&fleet, ENTRIES).await);
    fleet.set_faults(fleet.platform.log, LOG_RECOVERED).await;
    fleet.publish_table().await;
    wait_for_version(&fleet, &[0, 1, 2, ENTRIES], 3).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_resumed_host_activates_the_latest_version() {
    let fleet = TestFleet::start(FleetPlan::corrib(), ENTRIES).await;
    fleet.entries[0].process.signal("STOP");
    fleet.publish_table().await;
    wait_for_version(&fleet, &[1, 2], 2).await;
    fleet.set_faults(fleet.platform.log, LOG_OUTAGE).await;
    fleet.entries[0].process.signal("CONT");
    wait_for_version(&fleet, &[0, 1, 2], 2).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_reclaim_notice_does_not_wait_for_the_host_list() {
    let fleet = TestFleet::start(FleetPlan::dragons_sleeve(), ENTRIES).await;
    let before = fleet.status(&fleet.entries[0]).await.servers;
    let delay_host_list = HttpRequest::new(Method::PUT, fleet.platform.host_list, "/lag/600000");
    fleet.call(delay_host_list).await;
    let order = "{\"zone\":\"newport\",\"notice_ms\":60000}";
    let reclaim = HttpRequest::post(fleet.platform.cloud, "/reclaim", order);
    fleet.call(reclaim).await;
    for entry in &fleet.entries {
        let mut polls = 0;
        while fleet.status(entry).await.servers == before {
            polls += 1;
            assert!(polls < MAX_POLLS, "{} still uses the zone", entry.host);
            sleep(POLL_INTERVAL).await;
        }
    }
}
