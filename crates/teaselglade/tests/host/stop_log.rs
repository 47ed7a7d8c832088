//! Log of a stop.

use futures::future::join_all;
use tokio::time::timeout;

use super::fixture::WAIT_TIMEOUT;
use super::host_process::HostProcess;

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
