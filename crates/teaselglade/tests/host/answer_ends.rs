//! Causes for which answers end, in metrics and log lines.

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use super::captured_log::CapturedLog;
use super::fixture::{ATTEMPT, TestCluster, stream_request};
use super::server_standin::{Reply, ServerStandin, response_bytes, stream_response};

/// Returns the count of ends of a kind of response for a cause.
fn ends(cluster: &TestCluster, kind: &str, cause: &str) -> u64 {
    let labels = format!("_answer_ends_total{{cause=\"{cause}\",kind=\"{kind}\"}} ");
    let text = cluster.host.state().metrics.render();
    let value = text.lines().find_map(|line| line.split_once(&labels));
    value.map_or(0, |(_, value)| value.parse().expect("a number"))
}

async fn wait_for_end(cluster: &TestCluster, kind: &str, cause: &str) {
    cluster
        .wait_until(|cluster| ends(cluster, kind, cause) == 1)
        .await;
}

fn assert_cut(log: &CapturedLog, cause: &str) {
    let timeline = log.explain(ATTEMPT);
    let line = timeline.lines().find(|line| line.contains(" answered "));
    let line = line.unwrap_or_else(|| panic!("no answer in {timeline}"));
    assert!(line.contains("outcome=cut"), "{line}");
    assert!(line.contains(&format!(" cause={cause} ")), "{line}");
}

async fn engine(reply: fn(Vec<u8>) -> Reply) -> ServerStandin {
    ServerStandin::start(move |request, _| reply(stream_response(request, 1..=2, false))).await
}

#[tokio::test]
async fn a_stream_cut_by_its_server_names_the_server_as_the_cause() {
    let log = CapturedLog::start();
    let engine = engine(Reply::Reset).await;
    let cluster = TestCluster::start(&[("engine", &engine)]).await;
    cluster.request_stream("once", 5_000).await;
    wait_for_end(&cluster, "stream", "server_broke").await;
    assert_cut(&log, "server_broke");
}

#[tokio::test]
async fn a_stream_that_no_other_server_resumes_names_that_as_the_cause() {
    let log = CapturedLog::start();
    let engine = engine(Reply::Reset).await;
    let cluster = TestCluster::start(&[("engine", &engine)]).await;
    cluster.request_stream("draft", 5_000).await;
    wait_for_end(&cluster, "stream", "server_broke_no_server").await;
    assert_cut(&log, "server_broke_no_server");
}

#[tokio::test]
async fn a_stream_cut_at_its_deadline_names_the_deadline() {
    let log = CapturedLog::start();
    let engine = engine(Reply::Stall).await;
    let cluster = TestCluster::start(&[("engine", &engine)]).await;
    cluster.request_stream("once", 900).await;
    wait_for_end(&cluster, "stream", "deadline").await;
    assert_cut(&log, "deadline");
}

/// Nothing was logged of such a call.
#[tokio::test]
async fn a_call_whose_caller_leaves_before_the_answer_has_a_line() {
    let log = CapturedLog::start();
    let desk = ServerStandin::start(|_, _| Reply::Stall(Vec::new())).await;
    let cluster = TestCluster::start(&[("desk", &desk)]).await;
    let mut caller = TcpStream::connect(cluster.caller_address)
        .await
        .expect("a connection");
    let request = stream_request("book", 5_000);
    caller.write_all(request.as_bytes()).await.expect("sent");
    cluster.wait_until(|_| desk.requests().len() == 1).await;
    drop(caller);
    wait_for_end(&cluster, "plain", "caller_left").await;
    let timeline = log.explain(ATTEMPT);
    let line = timeline
        .lines()
        .find(|line| line.contains("request_dropped"));
    let line = line.unwrap_or_else(|| panic!("no end in {timeline}"));
    assert!(line.contains("cause=caller_left"), "{line}");
    assert!(line.contains("stage=awaiting_server"), "{line}");
}

#[tokio::test]
async fn whole_failed_and_refused_answers_are_counted_once_each() {
    let log = CapturedLog::start();
    let desk = ServerStandin::start(|request, number| {
        let status = if number == 0 { 200 } else { 404 };
        Reply::KeepAlive(response_bytes(request, status, "body"))
    })
    .await;
    let engine =
        ServerStandin::start(|request, _| Reply::KeepAlive(stream_response(request, 1..=2, true)))
            .await;
    let cluster = TestCluster::start(&[("desk", &desk), ("engine", &engine)]).await;
    cluster.call("GET", "/peek/1", "").await;
    cluster.call("GET", "/peek/1", "").await;
    cluster.call("HEAD", "/elsewhere/1", "").await;
    cluster.request_stream("once", 5_000).await;
    wait_for_end(&cluster, "plain", "whole").await;
    wait_for_end(&cluster, "plain", "server_failed").await;
    wait_for_end(&cluster, "none", "refused").await;
    wait_for_end(&cluster, "stream", "whole").await;
    let timeline = log.explain(ATTEMPT);
    assert!(!timeline.contains("request_dropped"), "{timeline}");
    assert!(!timeline.contains(" cause="), "{timeline}");
}
