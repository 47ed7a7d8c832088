//! Faults that a stream in progress lives through.

use std::time::Duration;

use teaselglade::caller::{CallerClient, StreamQuery, StreamReport};
use teaselglade_net::client::HttpCall;
use teaselglade_standins::engine::answer_text;
use teaselglade_standins::fleet::FleetPlan;
use tokio::time::sleep;

use super::harness::TestFleet;

const TOKENS: u32 = 80;
const STREAMS: usize = 12;
const BETWEEN_SIGNALS: Duration = Duration::from_millis(100);
const UNDER_WAY: Duration = Duration::from_millis(300);

fn query(index: usize) -> StreamQuery {
    StreamQuery {
        organisation: "dragons-sleeve".to_owned(),
        service: "patter-engine".to_owned(),
        prompt: format!("patter for trick {index}"),
        max_tokens: TOKENS,
    }
}

async fn run_streams(fleet: &TestFleet) -> Vec<StreamReport> {
    let entries = fleet.callers();
    let client = CallerClient::default();
    let streams = (0..STREAMS).map(|index| {
        let (client, entries) = (&client, &entries);
        async move { client.generate(entries, &query(index)).await }
    });
    futures::future::join_all(streams).await
}

fn assert_whole(reports: &[StreamReport]) {
    for (index, report) in reports.iter().enumerate() {
        assert!(report.is_whole(), "{report:?}");
        assert_eq!(report.text(), answer_text(&query(index).prompt, TOKENS));
    }
}

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
    let (reports, ()) = tokio::join!(run_streams(&fleet), stop);
    assert_whole(&reports);
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
            .call(HttpCall::post(fleet.platform.cloud, "/reclaim", order))
            .await;
    };
    let (reports, ()) = tokio::join!(run_streams(&fleet), reclaim);
    assert_whole(&reports);
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
    let (reports, ()) = tokio::join!(run_streams(&fleet), silence);
    assert_whole(&reports);
}
