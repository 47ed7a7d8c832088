//! Daemons that are frozen, killed and stopped.

use std::time::Duration;

use teaselglade_standins::fault::FaultSettings;
use teaselglade_wire::AuditAction;
use tokio::time::sleep;

use crate::data_centre::DataCentre;

/// Several ticks of a planner, in which one that believed to hold the lease would order.
const PLANNING_TIME: Duration = Duration::from_secs(5);

const FAILED_ORDERS: &str =
    r#"teaselglade_control_calls_total{call="order_host",outcome="failed"}"#;
const CLOUD_READS: &str = r#"teaselglade_control_calls_total{call="read_cloud",outcome="ok"}"#;
const HOST_READS: &str = r#"teaselglade_control_calls_total{call="read_hosts",outcome="ok"}"#;

#[tokio::test]
async fn frozen_holder_is_replaced_and_orders_nothing_when_it_wakes() {
    let mut centre = DataCentre::start(2).await;
    let first = centre.start_control("galway-e1");
    first.wait_for_lease().await;
    let second = centre.start_control("galway-e2");
    centre.wait_for_hosts(2).await;
    // Whoever believes to hold the lease has two hosts to order, and keeps trying.
    let refuse_starts = true;
    centre
        .fault_cloud(&FaultSettings {
            refuse_starts,
            ..FaultSettings::default()
        })
        .await;
    centre.publish(4).await;
    // Both orders are refused and back off, so none is in flight when the signal comes.
    first.wait_for(FAILED_ORDERS, 2).await;
    let orders = first.orders().await;
    first.signal("STOP");
    second.wait_for_lease().await;
    second.wait_for(FAILED_ORDERS, 1).await;
    // The woken daemon cannot learn of the other one from the log, only from its own clock.
    let down = true;
    centre
        .fault_log(&FaultSettings {
            down,
            ..FaultSettings::default()
        })
        .await;
    first.signal("CONT");
    sleep(PLANNING_TIME).await;
    assert_eq!(first.counter("teaselglade_lease_held").await, 0);
    assert_eq!(first.orders().await, orders);
    centre.fault_log(&FaultSettings::default()).await;
    centre.fault_cloud(&FaultSettings::default()).await;
    centre.wait_for_hosts(4).await;
    assert_eq!(centre.started(), 4);
}

#[tokio::test]
async fn killed_holder_with_open_orders_leaves_no_host_ordered_twice() {
    let mut centre = DataCentre::start(0).await;
    let first = centre.start_control("galway-e1");
    first.wait_for_lease().await;
    first.wait_for(CLOUD_READS, 1).await;
    first.wait_for(HOST_READS, 1).await;
    centre
        .fault_cloud(&FaultSettings {
            lose_answers: 1_000,
            // The effects come after the next holder has read the list and ordered.
            late_effect_ms: 9_000,
            ..FaultSettings::default()
        })
        .await;
    centre.publish(3).await;
    first.wait_for(FAILED_ORDERS, 3).await;
    drop(first);
    centre.fault_cloud(&FaultSettings::default()).await;
    let second = centre.start_control("galway-e2");
    second.wait_for_lease().await;
    centre.wait_for_hosts(3).await;
    // The first daemon's orders take effect meanwhile.
    sleep(Duration::from_secs(10)).await;
    assert_eq!(centre.started(), 3);
}

#[tokio::test]
async fn stopped_holder_gives_up_the_lease_and_the_audit_trail_is_whole() {
    let centre = DataCentre::start(1).await;
    let mut first = centre.start_control("galway-e1");
    first.wait_for_lease().await;
    centre.wait_for_hosts(1).await;
    let second = centre.start_control("galway-e2");
    first.signal("TERM");
    assert!(first.wait().await.success());
    second.wait_for_lease().await;
    let lines = centre.audit().await;
    let actions = lines.iter().map(|line| line.entry.action);
    let by_first = lines
        .iter()
        .filter(|line| line.entry.actor == "galway-e1")
        .map(|line| line.entry.action)
        .collect::<Vec<_>>();
    assert_eq!(by_first.first(), Some(&AuditAction::LeaseGained));
    assert_eq!(by_first.last(), Some(&AuditAction::LeaseLost));
    assert_eq!(
        actions.filter(|a| *a == AuditAction::HostOrdered).count(),
        1
    );
}
