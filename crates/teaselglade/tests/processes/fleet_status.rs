//! Status, health and metrics of running daemons.

use std::process::Command;

use teaselglade_net::client::HttpRequest;
use teaselglade_standins::fleet::FleetPlan;

use super::harness::TestFleet;

const ENTRIES: usize = 3;

fn run_tool(arguments: &[&str]) -> String {
    let mut command = Command::new(env!("CARGO_BIN_EXE_teaselglade"));
    let output = command.args(arguments).output().expect("the tool runs");
    assert!(output.status.success(), "{output:?}");
    String::from_utf8_lossy(&output.stdout).into_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn status_shows_the_lowest_version_and_unresponsive_hosts() {
    let mut fleet = TestFleet::start(FleetPlan::corrib(), ENTRIES).await;
    let host_list = fleet.platform.host_list.to_string();
    let arguments = ["fleet", "status", "--host-list", &host_list];
    let text = run_tool(&arguments);
    assert!(text.ends_with("lowest version in force: 1\n"), "{text}");
    assert_eq!(text.matches(" ready ").count(), ENTRIES, "{text}");
    fleet.entries[0].process.kill();
    let json = run_tool(&[&arguments[..], &["--json"]].concat());
    let status = serde_json::from_str::<serde_json::Value>(&json).expect("JSON");
    assert_eq!(status["silent"], 1);
    assert_eq!(status["lowest_version"], 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn health_readiness_and_metrics_are_served() {
    let fleet = TestFleet::start(FleetPlan::corrib(), 1).await;
    let entry = fleet.entries[0].addresses;
    for (address, path) in [(entry.callers, "/healthz"), (entry.peers, "/readyz")] {
        fleet.call(HttpRequest::get(address, path)).await;
    }
    let metrics = fleet.call(HttpRequest::get(entry.peers, "/metrics")).await;
    let text = String::from_utf8_lossy(&metrics.body).into_owned();
    assert!(text.contains("teaselglade_table_version 1"), "{text}");
}
