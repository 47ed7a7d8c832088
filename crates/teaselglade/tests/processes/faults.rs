//! Faults that a stream in progress lives through.

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
const BETWEEN_SIGNALS: Duration = Duration::from_millis(100);
const BETWEEN_RECLAIMS: Duration = Duration::from_millis(600);
const UNDER_WAY: Duration = Duration::from_millis(300);

#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_lets_streams_in_progress_end() {
    let mut fleet = TestFleet::start(FleetPlan::dragons_sleeve(), 1).await;
    let stop = async {
        sleep(UNDER_WAY).await;
        for _ in 0..3 {
            fleet.entries[0].process.signal("TERM");
            sleep(BETWEEN_SIGNALS).await;
        }
    };
    let (reports, ()) = tokio::join!(LOAD.run(&fleet), stop);
    LOAD.assert_complete(&reports);
    assert!(reports.iter().all(|report| report.resumes == 0));
    assert!(
        fleet.entries[0].process.wait(),
        "the daemon ends with success"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_survive_the_reclaim_of_a_zone() {
    let fleet = TestFleet::start(FleetPlan::dragons_sleeve(), 2).await;
    let reclaim = async {
        sleep(UNDER_WAY).await;
        let order = "{\"zone\":\"newport\",\"notice_ms\":200}";
        fleet
            .call(HttpRequest::post(fleet.platform.cloud, "/reclaim", order))
            .await;
    };
    let (reports, ()) = tokio::join!(LOAD.run(&fleet), reclaim);
    LOAD.assert_complete(&reports);
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_survive_two_reclaims_while_the_control_daemon_dies_and_starts_are_refused() {
    let fleet = TestFleet::start(FleetPlan::dragons_sleeve(), 2).await;
    let mut control = fleet.start_control(0);
    let reclaims = async {
        fleet
            .set_faults(fleet.platform.cloud, "{\"refuse_starts\":true}")
            .await;
        sleep(UNDER_WAY).await;
        for zone in ["newport", "swansea"] {
            let order = format!("{{\"zone\":\"{zone}\",\"notice_ms\":400}}");
            fleet
                .call(HttpRequest::post(fleet.platform.cloud, "/reclaim", order))
                .await;
            control.kill();
            sleep(BETWEEN_RECLAIMS).await;
        }
    };
    let (reports, ()) = tokio::join!(LOAD.run(&fleet), reclaims);
    LOAD.assert_complete(&reports);
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_survive_connections_that_go_silent() {
    let fleet = TestFleet::start(FleetPlan::dragons_sleeve(), 1).await;
    let silence = async {
        sleep(UNDER_WAY).await;
        for server in fleet.servers("patter-engine").await {
            let address = server.address.parse().expect("an address");
            fleet.set_faults(address, "{\"silence\":true}").await;
        }
    };
    let (reports, ()) = tokio::join!(LOAD.run(&fleet), silence);
    LOAD.assert_complete(&reports);
}
