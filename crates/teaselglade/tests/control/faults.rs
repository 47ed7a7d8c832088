//! Control daemons that are frozen, killed and stopped.

use std::time::Duration;

use teaselglade_standins::fault::FaultSettings;
use teaselglade_wire::AuditAction;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::data_centre::DataCentre;

/// Several planning rounds; a daemon that believed it held the lease would order hosts in them.
const PLANNING_TIME: Duration = Duration::from_secs(5);

const FAILED_ORDERS: &str =
    r#"teaselglade_control_calls_total{call="order_host",outcome="failed"}"#;
const CLOUD_READS: &str = r#"teaselglade_control_calls_total{call="read_cloud",outcome="ok"}"#;
const HOST_READS: &str = r#"teaselglade_control_calls_total{call="read_hosts",outcome="ok"}"#;

#[tokio::test]
async fn a_frozen_lease_holder_is_replaced_and_orders_nothing_after_it_resumes() {
    let mut centre = DataCentre::start(2).await;
    let first = centre.start_control("galway-e1");
    first.wait_for_lease().await;
    let second = centre.start_control("galway-e2");
    centre.wait_for_hosts(2).await;
    // A daemon that believes it holds the lease has two hosts to order and keeps trying.
    let refuse_starts = true;
    centre
        .set_cloud_faults(&FaultSettings {
            refuse_starts,
            ..FaultSettings::default()
        })
        .await;
    centre.publish(4).await;
    // Both orders are refused and back off, so none is in flight when the signal arrives.
    first.wait_for_metric(FAILED_ORDERS, 2).await;
    let orders_before = first.sent_orders().await;
    first.signal("STOP");
    second.wait_for_lease().await;
    second.wait_for_metric(FAILED_ORDERS, 1).await;
    // The log is down, so the resumed daemon detects the end of its lease only by its own clock.
    let down = true;
    centre
        .set_log_faults(&FaultSettings {
            down,
            ..FaultSettings::default()
        })
        .await;
    first.signal("CONT");
    sleep(PLANNING_TIME).await;
    assert_eq!(first.metric("teaselglade_lease_held").await, 0);
    assert_eq!(first.sent_orders().await, orders_before);
    centre.set_log_faults(&FaultSettings::default()).await;
    centre.set_cloud_faults(&FaultSettings::default()).await;
    centre.wait_for_hosts(4).await;
    assert_eq!(centre.started_hosts(), 4);
}

#[tokio::test]
async fn a_lease_holder_killed_with_orders_in_flight_causes_no_duplicate_host() {
    let mut centre = DataCentre::start(0).await;
    let first = centre.start_control("galway-e1");
    first.wait_for_lease().await;
    first.wait_for_metric(CLOUD_READS, 1).await;
    first.wait_for_metric(HOST_READS, 1).await;
    centre
        .set_cloud_faults(&FaultSettings {
            lose_answers: 1_000,
            // The orders take effect after the next holder has read the host list and ordered.
            late_effect_ms: 9_000,
            ..FaultSettings::default()
        })
        .await;
    centre.publish(3).await;
    first.wait_for_metric(FAILED_ORDERS, 3).await;
    drop(first);
    centre.set_cloud_faults(&FaultSettings::default()).await;
    let second = centre.start_control("galway-e2");
    second.wait_for_lease().await;
    centre.wait_for_hosts(3).await;
    // The first daemon's orders take effect in this time.
    sleep(Duration::from_secs(10)).await;
    assert_eq!(centre.started_hosts(), 3);
}

#[tokio::test]
async fn a_stopped_lease_holder_releases_the_lease_and_the_audit_trail_is_complete() {
    let centre = DataCentre::start(1).await;
    let mut first = centre.start_control("galway-e1");
    first.wait_for_lease().await;
    centre.wait_for_hosts(1).await;
    let second = centre.start_control("galway-e2");
    first.signal("TERM");
    assert!(first.wait().await.success());
    second.wait_for_lease().await;
    let lines = centre.read_audit_trail().await;
    let actions = lines.iter().map(|line| line.entry.action);
    let first_actions = lines
        .iter()
        .filter(|line| line.entry.actor == "galway-e1")
        .map(|line| line.entry.action)
        .collect::<Vec<_>>();
    assert_eq!(first_actions.first(), Some(&AuditAction::LeaseGained));
    assert_eq!(first_actions.last(), Some(&AuditAction::LeaseLost));
    assert_eq!(
        actions
            .filter(|action| *action == AuditAction::HostOrdered)
            .count(),
        1
    );
}

#[tokio::test]
async fn a_caller_that_never_ends_its_request_does_not_keep_a_stopped_daemon_alive() {
    let centre = DataCentre::start(1).await;
    let mut daemon = centre.start_control("galway-e1");
    daemon.wait_for_lease().await;
    let mut connection = TcpStream::connect(daemon.address())
        .await
        .expect("a connection");
    let half = b"GET /metrics HTTP/1.1\r\nhost: control\r\n";
    connection.write_all(half).await.expect("sent");
    daemon.signal("TERM");
    assert!(daemon.wait().await.success());
    drop(connection);
}

#[tokio::test]
async fn a_hang_up_signal_does_not_end_a_daemon() {
    let centre = DataCentre::start(1).await;
    let mut daemon = centre.start_control("galway-e1");
    daemon.wait_for_lease().await;
    daemon.signal("HUP");
    daemon.signal("TERM");
    daemon.signal("HUP");
    assert!(daemon.wait().await.success());
    let lines = centre.read_audit_trail().await;
    let last = lines.last().map(|line| line.entry.action);
    assert_eq!(last, Some(AuditAction::LeaseLost));
}
