//! Faults that streams in progress survive.

use std::time::Duration;

use teaselglade_net::client::HttpRequest;
use teaselglade_standins::fleet::FleetPlan;
use tokio::time::sleep;

use super::harness::TestFleet;
use super::stream_load::StreamLoad;

const LOAD: StreamLoad = StreamLoad {
    streams: 12,
    tokens: 80,
};
const SIGNAL_INTERVAL: Duration = Duration::from_millis(100);
const RECLAIM_INTERVAL: Duration = Duration::from_millis(600);
/// Time after which the streams are in progress.
const FAULT_DELAY: Duration = Duration::from_millis(300);

#[tokio::test(flavor = "multi_thread")]
async fn a_graceful_stop_completes_streams_in_progress() {
    let mut fleet = TestFleet::start(FleetPlan::dragons_sleeve(), 1).await;
    let stop = async {
        sleep(FAULT_DELAY).await;
        for _ in 0..3 {
            fleet.entries[0].process.signal("TERM");
            sleep(SIGNAL_INTERVAL).await;
        }
    };
    let (reports, ()) = tokio::join!(LOAD.run(&fleet), stop);
    LOAD.assert_complete(&reports);
    assert!(reports.iter().all(|report| report.resumes == 0));
    assert!(
        fleet.entries[0].process.wait(),
        "the daemon exits successfully"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_survive_the_reclaim_of_a_zone() {
    let fleet = TestFleet::start(FleetPlan::dragons_sleeve(), 2).await;
    let reclaim = async {
        sleep(FAULT_DELAY).await;
        let order = "{\"zone\":\"newport\",\"notice_ms\":200}";
        fleet
            .call(HttpRequest::post(fleet.platform.cloud, "/reclaim", order))
            .await;
    };
    let (reports, ()) = tokio::join!(LOAD.run(&fleet), reclaim);
    LOAD.assert_complete(&reports);
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_survive_two_reclaims_while_the_control_daemon_is_killed_and_starts_are_refused() {
    let fleet = TestFleet::start(FleetPlan::dragons_sleeve(), 2).await;
    let mut control = fleet.start_control(0);
    let reclaims = async {
        fleet
            .set_faults(fleet.platform.cloud, "{\"refuse_starts\":true}")
            .await;
        sleep(FAULT_DELAY).await;
        for zone in ["newport", "swansea"] {
            let order = format!("{{\"zone\":\"{zone}\",\"notice_ms\":400}}");
            fleet
                .call(HttpRequest::post(fleet.platform.cloud, "/reclaim", order))
                .await;
            control.kill();
            sleep(RECLAIM_INTERVAL).await;
        }
    };
    let (reports, ()) = tokio::join!(LOAD.run(&fleet), reclaims);
    LOAD.assert_complete(&reports);
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_survive_connections_that_stop_responding() {
    let fleet = TestFleet::start(FleetPlan::dragons_sleeve(), 1).await;
    let silence_servers = async {
        sleep(FAULT_DELAY).await;
        for server in fleet.servers("patter-engine").await {
            let address = server.address.parse().expect("an address");
            fleet.set_faults(address, "{\"silence\":true}").await;
        }
    };
    let (reports, ()) = tokio::join!(LOAD.run(&fleet), silence_servers);
    LOAD.assert_complete(&reports);
}
