//! Streams whose entry host leaves, and servers that freeze with open connections.

use std::time::Duration;

use hyper::Method;
use teaselglade::caller::{CallerClient, StreamRequest};
use teaselglade_net::client::HttpRequest;
use teaselglade_standins::fleet::{FleetAddresses, FleetPlan};
use teaselglade_wire::codec::{from_json, to_json};
use teaselglade_wire::{ErrorBody, HostEntries, Verdict};
use tokio::time::sleep;

use super::harness::{TestFleet, TestProcess};
use super::stream_load::StreamLoad;

const TOKENS: u32 = 120;
const LOAD: StreamLoad = StreamLoad {
    streams: 16,
    tokens: TOKENS,
};
const MAX_RESUMES: u32 = 40;
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);
/// Time after which the streams are in progress.
const FAULT_DELAY: Duration = Duration::from_millis(500);
const CHEAPEST_CENTS_PER_HOUR: f64 = 0.1;
const SHORT_DRAIN_TIMEOUT: Duration = Duration::from_secs(3);

/// Starts a second stand-in process and adds one of its engines to the fleet's host list.
async fn add_engine_process(fleet: &TestFleet) -> TestProcess {
    let program = env!("CARGO_BIN_EXE_teaselglade-standins");
    let (process, line) = TestProcess::start(program, &["--fleet", &fleet.plan.name]);
    let platform = from_json::<FleetAddresses>(line.as_bytes()).expect("addresses");
    let response = fleet
        .call(HttpRequest::get(platform.host_list, "/hosts"))
        .await;
    let listed = from_json::<HostEntries>(&response.body).expect("the host list");
    let mut hosts = listed.hosts.into_iter();
    let engine = hosts.find(|host| host.service == "patter-engine");
    let mut engine = engine.expect("a model engine");
    engine.name = format!("{}-frozen", engine.name);
    // Placement prefers the cheapest engine, so this one gets streams.
    engine.cents_per_hour = CHEAPEST_CENTS_PER_HOUR;
    let body = to_json(&engine).expect("the host is encoded");
    let put = HttpRequest::new(Method::PUT, fleet.platform.host_list, "/hosts").body(body);
    fleet.call(put).await;
    process
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_resume_at_a_peer_when_their_entry_host_stops() {
    let plan = FleetPlan::dragons_sleeve();
    let mut fleet = TestFleet::start_with_drain(plan, 3, SHORT_DRAIN_TIMEOUT).await;
    let stop = async {
        sleep(FAULT_DELAY).await;
        fleet.entries[0].process.signal("TERM");
    };
    let (reports, ()) = tokio::join!(LOAD.run(&fleet), stop);
    LOAD.assert_complete(&reports);
    assert!(reports.iter().all(|report| report.resumes > 0));
    assert!(
        fleet.entries[0].process.wait(),
        "the daemon exits successfully"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_resume_at_a_peer_when_their_entry_host_is_reclaimed() {
    let mut fleet = TestFleet::start(FleetPlan::dragons_sleeve(), 3).await;
    let reclaim = async {
        sleep(FAULT_DELAY).await;
        mark_leaving(&fleet, &fleet.entries[0].host).await;
    };
    let (reports, ()) = tokio::join!(LOAD.run(&fleet), reclaim);
    fleet.entries[0].process.kill();
    LOAD.assert_complete(&reports);
    assert!(reports.iter().any(|report| report.resumes > 0));
}

async fn mark_leaving(fleet: &TestFleet, host: &str) {
    let list = HttpRequest::get(fleet.platform.host_list, "/hosts");
    let response = fleet.call(list).await;
    let listed = from_json::<HostEntries>(&response.body).expect("the host list");
    let mut hosts = listed.hosts.into_iter();
    let mut entry = hosts.find(|entry| entry.name == host).expect("the host");
    entry.leaving = true;
    let body = to_json(&entry).expect("the host is encoded");
    let put = HttpRequest::new(Method::PUT, fleet.platform.host_list, "/hosts").body(body);
    fleet.call(put).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_end_as_may_have_run_when_their_entry_host_is_killed() {
    let mut fleet = TestFleet::start(FleetPlan::dragons_sleeve(), 2).await;
    let entries = fleet.callers();
    let client = CallerClient::default();
    let request = LOAD.request(0);
    let stream = client.generate(&entries, &request);
    let kill = async {
        sleep(FAULT_DELAY).await;
        fleet.entries[0].process.kill();
    };
    let (report, ()) = tokio::join!(stream, kill);
    let outcome = format!("{:?}", report.outcome);
    assert!(
        !report.is_complete(),
        "a truncated stream counts as complete"
    );
    assert!(outcome.contains("MayHaveRun"), "{outcome}");
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_survive_an_engine_that_freezes() {
    let mut fleet = TestFleet::start(FleetPlan::dragons_sleeve(), 0).await;
    let engine = add_engine_process(&fleet).await;
    fleet.start_entry(0).await;
    sleep(Duration::from_secs(1)).await;
    let freeze = async {
        sleep(FAULT_DELAY).await;
        engine.signal("STOP");
        sleep(Duration::from_secs(5)).await;
        engine.signal("CONT");
    };
    let (reports, ()) = tokio::join!(LOAD.run(&fleet), freeze);
    LOAD.assert_complete(&reports);
    assert_ne!(
        failed_attempts(&fleet).await,
        0,
        "no stream ran on the engine"
    );
}

async fn failed_attempts(fleet: &TestFleet) -> u64 {
    let peers = fleet.entries[0].addresses.peers;
    let response = fleet.call(HttpRequest::get(peers, "/metrics")).await;
    let text = String::from_utf8_lossy(&response.body);
    let mut lines = text.lines();
    let count = lines.find_map(|line| line.strip_prefix("teaselglade_failed_attempts_total "));
    count.and_then(|count| count.parse().ok()).unwrap_or(0)
}

/// Starts a stream, disconnects after the response head and returns the request id.
async fn start_and_disconnect(fleet: &TestFleet, request: &StreamRequest) -> String {
    let body = format!(
        "{{\"prompt\":\"{}\",\"max_tokens\":{}}}",
        request.prompt, request.max_tokens
    );
    let path = format!("/v1/services/{}/generate", request.service);
    let post = HttpRequest::post(fleet.callers()[0], path, body)
        .header("x-organisation", request.organisation.as_str());
    let response = fleet.http.send_streaming(post).await.expect("a stream");
    let id = response.headers().get("x-request-id").expect("an id");
    id.to_str().expect("text").to_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_peer_is_not_waited_for_and_its_stream_can_be_resumed_once_it_runs_again() {
    let fleet = TestFleet::start(FleetPlan::dragons_sleeve(), 2).await;
    let request = LOAD.request(0);
    let request_id = start_and_disconnect(&fleet, &request).await;
    fleet.entries[0].process.signal("STOP");
    let resume = || HttpRequest::get(fleet.callers()[1], format!("/v1/requests/{request_id}"));
    let response = fleet
        .http
        .call(resume().head_timeout(REQUEST_TIMEOUT))
        .await;
    let response = response.expect("a response without the peer");
    let refusal = from_json::<ErrorBody>(&response.body).expect("an error body");
    assert_eq!(refusal.verdict, Verdict::MayHaveRun, "{refusal:?}");
    fleet.entries[0].process.signal("CONT");
    let mut body = String::new();
    for _ in 0..MAX_RESUMES {
        sleep(FAULT_DELAY).await;
        let response = fleet
            .http
            .call(resume().head_timeout(REQUEST_TIMEOUT))
            .await;
        let response = response.expect("a response");
        if response.is_success() {
            body = String::from_utf8_lossy(&response.body).into_owned();
            break;
        }
    }
    assert_eq!(
        body.matches("event:token").count(),
        TOKENS as usize,
        "{body}"
    );
    assert!(body.contains("event:end"), "{body}");
}
