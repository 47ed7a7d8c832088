//! The table over separate processes: publications, a log outage and a frozen host.

use std::time::Duration;

use hyper::Method;
use teaselglade_net::client::HttpRequest;
use teaselglade_standins::fleet::FleetPlan;
use tokio::time::sleep;

use super::harness::TestFleet;

const ENTRIES: usize = 3;
const POLL: Duration = Duration::from_millis(50);
const MAX_POLLS: u32 = 400;
const SURVEY_TIME: Duration = Duration::from_secs(4);
const LOG_OUT: &str = "{\"down\":true}";
const LOG_BACK: &str = "{}";

/// Waits until the entry daemons have a version in force; none may go back meanwhile.
async fn wait_for_version(fleet: &TestFleet, entries: &[usize], version: u64) {
    let mut highest = vec![0; fleet.entries.len()];
    for _ in 0..MAX_POLLS {
        for index in entries {
            let seen = fleet.status(&fleet.entries[*index]).await.table_version;
            assert!(seen >= highest[*index], "entry {index} reverted to {seen}");
            highest[*index] = seen;
        }
        if entries.iter().all(|index| highest[*index] == version) {
            return;
        }
        sleep(POLL).await;
    }
    panic!("version {version} is not in force: {highest:?}");
}

async fn is_ready(fleet: &TestFleet, entry: usize) -> bool {
    fleet.status(&fleet.entries[entry]).await.ready
}

#[tokio::test(flavor = "multi_thread")]
async fn publication_is_in_force_everywhere() {
    let fleet = TestFleet::start(FleetPlan::corrib(), ENTRIES).await;
    wait_for_version(&fleet, &[0, 1, 2], 1).await;
    for version in 2..5 {
        fleet.publish_table().await;
        wait_for_version(&fleet, &[0, 1, 2], version).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn fresh_host_learns_the_head_from_peers_while_the_log_is_out() {
    let mut fleet = TestFleet::start(FleetPlan::corrib(), ENTRIES).await;
    fleet.publish_table().await;
    wait_for_version(&fleet, &[0, 1, 2], 2).await;
    fleet.set_faults(fleet.platform.log, LOG_OUT).await;
    for entry in &fleet.entries {
        entry.process.signal("STOP");
    }
    fleet.start_entry(ENTRIES).await;
    sleep(SURVEY_TIME).await;
    assert!(!is_ready(&fleet, ENTRIES).await, "nobody told it the head");
    for entry in &fleet.entries[..ENTRIES] {
        entry.process.signal("CONT");
    }
    wait_for_version(&fleet, &[ENTRIES], 2).await;
    assert!(is_ready(&fleet, ENTRIES).await);
    fleet.set_faults(fleet.platform.log, LOG_BACK).await;
    fleet.publish_table().await;
    wait_for_version(&fleet, &[0, 1, 2, ENTRIES], 3).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn frozen_host_wakes_up_to_the_present_version() {
    let fleet = TestFleet::start(FleetPlan::corrib(), ENTRIES).await;
    fleet.entries[0].process.signal("STOP");
    fleet.publish_table().await;
    wait_for_version(&fleet, &[1, 2], 2).await;
    fleet.set_faults(fleet.platform.log, LOG_OUT).await;
    fleet.entries[0].process.signal("CONT");
    wait_for_version(&fleet, &[0, 1, 2], 2).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn notice_of_reclaim_does_not_wait_for_the_host_list() {
    let fleet = TestFleet::start(FleetPlan::dragons_sleeve(), ENTRIES).await;
    let before = fleet.status(&fleet.entries[0]).await.servers;
    let lag = HttpRequest::new(Method::PUT, fleet.platform.host_list, "/lag/600000");
    fleet.call(lag).await;
    let order = "{\"zone\":\"newport\",\"notice_ms\":60000}";
    let reclaim = HttpRequest::post(fleet.platform.cloud, "/reclaim", order);
    fleet.call(reclaim).await;
    for entry in &fleet.entries {
        let mut polls = 0;
        while fleet.status(entry).await.servers == before {
            polls += 1;
            assert!(polls < MAX_POLLS, "{} still uses the zone", entry.host);
            sleep(POLL).await;
        }
    }
}
