//! Signals that end the process or come while it stops.

use std::time::Duration;

use tokio::time::sleep;

use super::fixture::{TestCluster, stream_request};
use super::host_process::HostProcess;
use super::server_standin::{Reply, ServerStandin, event_text, response_bytes, stream_response};

/// Time that the process is frozen with the signal pending; the grace period is 8 s.
const FREEZE: Duration = Duration::from_millis(3_500);

/// Counted from the notice instead of the signal, the host would pass the stream on and be killed.
#[tokio::test]
async fn a_stream_that_would_be_cut_is_refused_after_a_late_signal() {
    let engine =
        ServerStandin::start(|request, _| Reply::Stall(stream_response(request, 1..=1, false)))
            .await;
    let desk =
        ServerStandin::start(|request, _| Reply::KeepAlive(response_bytes(request, 200, "done")))
            .await;
    let mut cluster = TestCluster::start(&[("engine", &engine), ("desk", &desk)]).await;
    let host = HostProcess::start_with(Some(cluster.store.address), "");
    cluster.caller_address = host.caller_address();
    host.call_until("/book/1", |response| response.status == 200)
        .await;
    host.signal("STOP");
    host.signal("TERM");
    sleep(FREEZE).await;
    host.signal("CONT");
    host.call_until("/none/1", |response| {
        response.header("connection") == Some("close")
    })
    .await;
    let refused = cluster.request_stream("once", 8_000).await;
    assert!(refused.starts_with("HTTP/1.1 503"), "{refused}");
    for part in ["retry-after: ", "connection: close", "\"not_run\""] {
        assert!(refused.contains(part), "{refused}");
    }
    assert!(engine.requests().is_empty());
    let served = cluster.send_raw(&stream_request("book", 1_000)).await;
    assert!(served.starts_with("HTTP/1.1 200"), "{served}");
    assert!(served.ends_with("done"), "{served}");
}

/// A second signal must not end the process, and a reload must not end the wait.
#[tokio::test]
async fn a_stream_in_hand_ends_whole_in_a_series_of_signals() {
    let engine = ServerStandin::start(|request, _| {
        Reply::Late(
            Duration::from_secs(4),
            stream_response(request, 1..=3, true),
        )
    })
    .await;
    let mut cluster = TestCluster::start(&[("engine", &engine)]).await;
    let mut host = HostProcess::start_with(Some(cluster.store.address), "");
    cluster.caller_address = host.caller_address();
    host.call_until("/none/1", |response| response.status == 404)
        .await;
    let send_signals = async {
        cluster.wait_until(|_| engine.requests().len() == 3).await;
        for name in ["HUP", "TERM", "HUP", "TERM", "INT", "HUP", "TERM"] {
            host.signal(name);
            sleep(Duration::from_millis(50)).await;
        }
    };
    let request = stream_request("once", 8_000);
    let (first, second, third, ()) = tokio::join!(
        cluster.send_raw(&request),
        cluster.send_raw(&request),
        cluster.send_raw(&request),
        send_signals
    );
    for response in [first, second, third] {
        assert!(response.contains(&event_text(3)), "{response}");
        assert!(response.ends_with("0\r\n\r\n"), "{response}");
    }
    assert_eq!(host.exit_code().await, Some(0));
}
