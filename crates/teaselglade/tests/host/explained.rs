//! Breaks a request in three ways and finds the cause from the captured lines alone.

use serde_json::json;

use super::captured_log::CapturedLog;
use super::fixture::{ATTEMPT, TestCluster, config_record, server_record};
use super::server_standin::{Reply, ServerStandin, response_bytes, stream_response};

/// Returns the line of a story that tells of an event, the last where there are more.
fn line_of<'a>(story: &'a str, event: &str) -> &'a str {
    let mut lines = story.lines().rev();
    let found = lines.find(|line| line.split(' ').nth(2) == Some(event));
    found.unwrap_or_else(|| panic!("no line on {event}:\n{story}"))
}

fn position(story: &str, text: &str) -> usize {
    story
        .find(text)
        .unwrap_or_else(|| panic!("no {text}:\n{story}"))
}

#[tokio::test]
async fn a_request_refused_though_servers_were_free() {
    let log = CapturedLog::start();
    let desk =
        ServerStandin::start(|got, _| Reply::KeepAlive(response_bytes(got, 200, "ok"))).await;
    let site = TestCluster::start(&[("desk", &desk)]).await;
    let mut limited = config_record(2, 2);
    limited["tenants"][0]["rate_per_s"] = json!(0.2);
    limited["tenants"][0]["burst"] = json!(1.0);
    site.store.put("keyed.op", "config", &limited.to_string());
    site.wait_until(|site| site.host.state().table_version() == 2)
        .await;
    let mut status = 200;
    for _ in 0..5 {
        status = site.call("GET", "/peek/1", "").await.status;
    }
    assert_eq!(status, 429);
    let story = log.explain(ATTEMPT);
    let refused = line_of(&story, "refused");
    assert!(
        refused.contains("quota of halloran is used up"),
        "{refused}"
    );
    assert!(refused.contains("verdict=not_run"), "{refused}");
    assert!(refused.contains("table=2"), "{refused}");
    let in_force = line_of(&story, "table_in_force");
    assert!(in_force.contains("version=2"), "{in_force}");
}

#[tokio::test]
async fn a_stream_cut_by_a_server_that_was_taken_back() {
    let log = CapturedLog::start();
    let engine =
        ServerStandin::start(|got, _| Reply::Stall(stream_response(got, 1..=2, false))).await;
    let site = TestCluster::start(&[("engine", &engine)]).await;
    let leaving = server_record("engine", engine.address, 2).replace("ready", "draining");
    let (got, ()) = tokio::join!(site.request_stream("once", 1_500), async {
        site.wait_until(|_| !engine.requests().is_empty()).await;
        site.store.put("keyed.servers", "i-0", &leaving);
        site.wait_for_servers("engine", 0).await;
    });
    assert!(got.contains("piece 2"), "{got}");
    let story = log.explain(ATTEMPT);
    let ended = line_of(&story, "attempt_ended");
    assert!(ended.contains("server=i-0"), "{ended}");
    assert!(line_of(&story, "answered").contains("outcome=cut"));
    let left = position(&story, "after=leaving");
    assert!(position(&story, " placed ") < left && left < position(&story, " attempt_ended "));
}

#[tokio::test]
async fn a_booking_answered_that_it_may_have_run() {
    let log = CapturedLog::start();
    let desk = ServerStandin::start(|_, _| Reply::Reset(Vec::new())).await;
    let site = TestCluster::start(&[("desk", &desk), ("desk", &desk)]).await;
    assert_eq!(site.call("POST", "/book/1", "").await.status, 502);
    let story = log.explain(ATTEMPT);
    assert_eq!(story.matches(" placed ").count(), 1, "{story}");
    let ended = line_of(&story, "attempt_ended");
    assert!(ended.contains("next=give_up_may_have_run"), "{ended}");
    assert!(line_of(&story, "refused").contains("verdict=may_have_run"));
}
