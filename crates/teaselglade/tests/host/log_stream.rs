//! Log of a serving host as a process: a reader that stops, and a filter that changes.

use std::io::BufRead;

use futures::future::join_all;
use tokio::time::timeout;

use super::fixture::WAIT_TIMEOUT;
use super::host_process::HostProcess;

/// At most five lines are queued; the pipe buffers some more.
#[tokio::test]
async fn a_stopped_log_reader_blocks_no_request_and_dropped_lines_are_counted() {
    let host = HostProcess::start("info");
    host.wait_until_serving().await;
    let drop_lines = async {
        while host.dropped_lines().await == 0 {
            let statuses = join_all((0..100).map(|_| host.send_request())).await;
            assert!(statuses.iter().all(|status| *status == Some(503)));
        }
    };
    timeout(WAIT_TIMEOUT, drop_lines)
        .await
        .expect("lines are dropped");
    for _ in 0..50 {
        assert_eq!(host.send_request().await, Some(503));
    }
}

#[tokio::test]
async fn a_reload_changes_which_lines_are_logged() {
    let mut host = HostProcess::start("error");
    host.wait_until_serving().await;
    let lines = host.take_lines();
    host.reload("not a filter=,=");
    host.reload("teaselglade=info,teaselglade_host=info");
    let first = tokio::task::spawn_blocking(move || lines.lines().next());
    let first = timeout(WAIT_TIMEOUT, first).await.expect("a line");
    let first = first.expect("read").expect("a line").expect("text");
    assert!(first.contains("\"event\":\"reloaded\""), "{first}");
    assert!(first.contains("teaselglade_host=info"), "{first}");
}
