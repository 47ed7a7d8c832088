//! Requests that fail in three ways; their log lines alone must show the cause.

use serde_json::json;

use super::captured_log::CapturedLog;
use super::fixture::{ATTEMPT, TestCluster, config_record, server_record};
use super::server_standin::{Reply, ServerStandin, response_bytes, stream_response};

/// Returns the last line of a timeline with the given event.
fn line_of<'a>(timeline: &'a str, event: &str) -> &'a str {
    let mut lines = timeline.lines().rev();
    let found = lines.find(|line| line.split(' ').nth(2) == Some(event));
    found.unwrap_or_else(|| panic!("no line with the event `{event}`:\n{timeline}"))
}

fn position(timeline: &str, text: &str) -> usize {
    timeline
        .find(text)
        .unwrap_or_else(|| panic!("no `{text}`:\n{timeline}"))
}

#[tokio::test]
async fn a_quota_refusal_while_servers_are_free_is_explained() {
    let log = CapturedLog::start();
    let desk =
        ServerStandin::start(|request, _| Reply::KeepAlive(response_bytes(request, 200, "ok")))
            .await;
    let cluster = TestCluster::start(&[("desk", &desk)]).await;
    let mut limited = config_record(2, 2);
    limited["tenants"][0]["rate_per_s"] = json!(0.2);
    limited["tenants"][0]["burst"] = json!(1.0);
    cluster
        .store
        .put("keyed.op", "config", &limited.to_string());
    cluster
        .wait_until(|cluster| cluster.host.state().table_version() == 2)
        .await;
    let mut status = 200;
    for _ in 0..5 {
        status = cluster.call("GET", "/peek/1", "").await.status;
    }
    assert_eq!(status, 429);
    let timeline = log.explain(ATTEMPT);
    let refused = line_of(&timeline, "refused");
    assert!(
        refused.contains("quota of halloran is used up"),
        "{refused}"
    );
    assert!(refused.contains("verdict=not_run"), "{refused}");
    assert!(refused.contains("table=2"), "{refused}");
    let activated = line_of(&timeline, "table_in_force");
    assert!(activated.contains("version=2"), "{activated}");
}

#[tokio::test]
async fn a_stream_truncated_by_the_reclaim_of_its_server_is_explained() {
    let log = CapturedLog::start();
    let engine =
        ServerStandin::start(|request, _| Reply::Stall(stream_response(request, 1..=2, false)))
            .await;
    let cluster = TestCluster::start(&[("engine", &engine)]).await;
    let draining = server_record("engine", engine.address, 2).replace("ready", "draining");
    let (response, ()) = tokio::join!(cluster.request_stream("once", 1_500), async {
        cluster.wait_until(|_| !engine.requests().is_empty()).await;
        cluster.store.put("keyed.servers", "i-0", &draining);
        cluster.wait_for_servers("engine", 0).await;
    });
    assert!(response.contains("piece 2"), "{response}");
    let timeline = log.explain(ATTEMPT);
    let ended = line_of(&timeline, "attempt_ended");
    assert!(ended.contains("server=i-0"), "{ended}");
    assert!(line_of(&timeline, "answered").contains("outcome=cut"));
    let leaving = position(&timeline, "after=leaving");
    assert!(
        position(&timeline, " placed ") < leaving
            && leaving < position(&timeline, " attempt_ended ")
    );
}

#[tokio::test]
async fn a_plain_call_that_may_have_run_is_explained() {
    let log = CapturedLog::start();
    let desk = ServerStandin::start(|_, _| Reply::Reset(Vec::new())).await;
    let cluster = TestCluster::start(&[("desk", &desk), ("desk", &desk)]).await;
    assert_eq!(cluster.call("POST", "/book/1", "").await.status, 502);
    let timeline = log.explain(ATTEMPT);
    assert_eq!(timeline.matches(" placed ").count(), 1, "{timeline}");
    let ended = line_of(&timeline, "attempt_ended");
    assert!(ended.contains("next=give_up_may_have_run"), "{ended}");
    assert!(line_of(&timeline, "refused").contains("verdict=may_have_run"));
}
