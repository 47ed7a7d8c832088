//! Log of a stop: what it says of each request in hand, and that no last line is lost.

use std::net::SocketAddr;

use futures::future::join_all;
use serde_json::Value;
use teaselglade::operation::{HostLogLine, RequestTimeline};
use teaselglade_host::open::RequestStage;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use super::fixture::{
    ATTEMPT, TestCluster, WAIT_TIMEOUT, config_record, server_record, stream_request,
};
use super::host_process::{FollowedLines, HostProcess};
use super::server_standin::{Reply, ServerStandin, response_bytes, stream_response};
use super::store_standin::StoreStandin;

const STREAMS: usize = 5;
const PLAIN_CALLS: usize = 2;
/// Grace period shorter than the routes' timeout, so that only the stop ends a request.
const SHORT_GRACE: &str = "bounds.grace_s=5\n";

/// Returns a plain call that must not run twice.
fn plain_request() -> String {
    stream_request("book", 10_000)
}

/// Opens a connection and sends a request under another id than the tests' usual one.
async fn send(address: SocketAddr, request: &str, id: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let request = request.replace(ATTEMPT, id);
    stream.write_all(request.as_bytes()).await.expect("sent");
    stream
}

/// Returns the only line with an event and an id.
fn line_of(lines: &FollowedLines, event: &str, id: &str) -> Value {
    let mut found = lines.with_event(event);
    found.retain(|line| line["id"] == id);
    assert_eq!(found.len(), 1, "{event} of {id} in:\n{}", lines.text());
    found.swap_remove(0)
}

/// Starts a store with one engine and one desk.
async fn start_store(engine: &ServerStandin, desk: &ServerStandin) -> StoreStandin {
    let store = StoreStandin::start().await;
    store.put("keyed.op", "config", &config_record(1, 2).to_string());
    for (name, server) in [("engine", engine), ("desk", desk)] {
        let record = server_record(name, server.address, 1);
        store.put("keyed.servers", &format!("i-{name}"), &record);
    }
    store
}

async fn wait_until(condition: impl Fn() -> bool) {
    let holds = async {
        while !condition() {
            sleep(std::time::Duration::from_millis(10)).await;
        }
    };
    timeout(WAIT_TIMEOUT, holds)
        .await
        .expect("it holds in time");
}

/// The line budget allows no line at all here.
#[tokio::test]
async fn each_request_in_hand_at_the_end_of_a_stop_is_found_by_its_id() {
    let engine =
        ServerStandin::start(|request, _| Reply::Stall(stream_response(request, 1..=2, false)))
            .await;
    let desk = ServerStandin::start(|request, _| {
        if request.head.starts_with("GET") {
            return Reply::KeepAlive(response_bytes(request, 200, "ok"));
        }
        Reply::Stall(Vec::new())
    })
    .await;
    let store = start_store(&engine, &desk).await;
    let settings = format!("{SHORT_GRACE}log.lines_per_second=0.01\n");
    let mut host = HostProcess::start_with(Some(store.address), &settings);
    let lines = host.follow_lines();
    host.wait_until_serving().await;
    while host.send_request().await != Some(200) {}
    let ids: Vec<String> = (0..STREAMS + PLAIN_CALLS)
        .map(|number| format!("{number:016x}"))
        .collect();
    let mut callers = Vec::new();
    for (number, id) in ids.iter().enumerate() {
        let request = if number < STREAMS {
            stream_request("once", 10_000)
        } else {
            plain_request()
        };
        callers.push(send(host.caller_address(), &request, id).await);
    }
    wait_until(|| engine.requests().len() == STREAMS).await;
    wait_until(|| {
        desk.requests()
            .iter()
            .filter(|call| call.head.starts_with("POST"))
            .count()
            == PLAIN_CALLS
    })
    .await;
    host.signal("TERM");
    let errors = host.wait_for_exit().await;
    lines.wait_for_end().await;
    assert_eq!(errors, "");

    let total = STREAMS + PLAIN_CALLS;
    for event in [
        "accepting_ended",
        "callers_drained",
        "requests_in_hand",
        "stopped",
    ] {
        let found = lines.with_event(event);
        assert_eq!(found.len(), 1, "{event} in:\n{}", lines.text());
        assert_eq!(found[0]["requests"], total, "{}", found[0]);
    }
    for (number, id) in ids.iter().enumerate() {
        let left = line_of(&lines, "request_in_hand", id);
        assert!(
            left["elapsed_ms"].is_u64() && left["left_ms"].is_u64(),
            "{left}"
        );
        let fields = ["route", "stage", "server"].map(|name| left[name].as_str());
        if number < STREAMS {
            assert_eq!(fields, [Some("once"), Some("streaming"), Some("i-engine")]);
            assert!(left["event_age_ms"].is_u64(), "{left}");
            let answered = line_of(&lines, "answered", id);
            assert_eq!(answered["outcome"], "process_ended");
        } else {
            assert_eq!(
                fields,
                [Some("book"), Some("awaiting_server"), Some("i-desk")]
            );
            let dropped = line_of(&lines, "request_dropped", id);
            assert_eq!(dropped["cause"], "process_ended");
        }
    }
    let text = lines.text();
    let parsed = text
        .lines()
        .filter_map(|line| HostLogLine::parse(line, "edge"));
    let parsed: Vec<HostLogLine> = parsed.collect();
    for id in &ids {
        let timeline = RequestTimeline::join(id, &parsed).render();
        assert!(timeline.contains("request_in_hand"), "{timeline}");
        assert!(timeline.contains("callers_drained"), "{timeline}");
    }
    drop(callers);
}

#[tokio::test]
async fn each_signal_of_a_series_is_logged_also_during_the_stop() {
    let mut host = HostProcess::start("info");
    let lines = host.follow_lines();
    host.wait_until_serving().await;
    let series = [
        ("HUP", false),
        ("TERM", false),
        ("TERM", true),
        ("HUP", true),
        ("INT", true),
    ];
    for (index, (name, _)) in series.iter().enumerate() {
        host.signal(name);
        lines.wait_for("signal", index + 1).await;
    }
    assert_eq!(host.wait_for_exit().await, "");
    lines.wait_for_end().await;
    for (line, (name, is_stopping)) in lines.with_event("signal").iter().zip(series) {
        assert_eq!(line["signal"], format!("SIG{name}"), "{}", lines.text());
        assert_eq!(line["is_stopping"], is_stopping, "{}", lines.text());
    }
}

/// Such a process waited for the reader for ever, as it reported to standard output.
#[tokio::test]
async fn a_stopped_log_reader_does_not_keep_a_stopped_host_from_its_end() {
    // Far more lines than one round of requests writes, so that only a stopped reader fills it.
    let settings = "log.queued_lines=1000\nlog.lines_per_second=100000\n";
    let mut host = HostProcess::start_with(None, settings);
    host.wait_until_serving().await;
    let drop_lines = async {
        while host.dropped_lines().await == 0 {
            join_all((0..100).map(|_| host.send_request())).await;
        }
    };
    timeout(WAIT_TIMEOUT, drop_lines)
        .await
        .expect("lines are dropped");
    host.signal("TERM");
    let errors = host.wait_for_exit().await;
    assert!(errors.contains("\"event\":\"lines_unwritten\""), "{errors}");
}

#[tokio::test]
async fn a_request_is_open_until_its_response_has_ended_or_its_caller_has_left() {
    let engine =
        ServerStandin::start(|request, _| Reply::Stall(stream_response(request, 1..=2, false)))
            .await;
    let cluster = TestCluster::start(&[("engine", &engine)]).await;
    let stages = |cluster: &TestCluster| -> Vec<RequestStage> {
        let open = cluster.host.state().lock_open_requests();
        open.iter().map(|request| request.stage).collect()
    };
    let partial = plain_request().replace("Length: 0\r\n\r\n", "Length: 9\r\n\r\nhalf");
    let address = cluster.caller_address;
    let caller = send(address, &partial, "00aa").await;
    cluster
        .wait_until(|cluster| stages(cluster) == [RequestStage::ReadingBody])
        .await;
    drop(caller);
    cluster
        .wait_until(|cluster| stages(cluster).is_empty())
        .await;
    let caller = send(address, &stream_request("once", 10_000), "00bb").await;
    cluster
        .wait_until(|cluster| stages(cluster) == [RequestStage::Streaming])
        .await;
    drop(caller);
    cluster
        .wait_until(|cluster| stages(cluster).is_empty())
        .await;
    let refused = cluster.call("GET", "/elsewhere/1", "").await;
    assert_eq!(refused.status, 404);
    cluster
        .wait_until(|cluster| stages(cluster).is_empty())
        .await;
}
