//! Host list client against the stand-in host list.

use std::sync::Arc;
use std::time::Duration;

use teaselglade_core::port::{HostListPort, ListedRole};
use teaselglade_net::platform::HostListClient;
use teaselglade_standins::host_list::{HostRegistry, host_list_router};
use teaselglade_wire::{HostEntry, HostRole};

use super::support::{new_client, serve};

fn host(name: &str) -> HostEntry {
    HostEntry {
        name: name.to_owned(),
        incarnation: 3,
        role: HostRole::Backend,
        address: "127.0.0.1:9".to_owned(),
        zone: "galway".to_owned(),
        class: "old".to_owned(),
        service: "draft-fleet".to_owned(),
        cents_per_hour: 40.0,
        reclaimable: true,
        leaving: false,
    }
}

#[tokio::test]
async fn changes_are_visible_after_the_lag() {
    let registry = Arc::new(HostRegistry::default());
    let client = HostListClient::new(new_client(), serve(host_list_router(&registry)).await);
    registry.put(host("a"));
    registry.set_lag(Duration::from_hours(1));
    registry.put(host("b"));
    registry.mark_leaving("a");
    let visible_hosts = client.hosts().await.expect("the list");
    assert_eq!(visible_hosts.len(), 1);
    assert_eq!(visible_hosts[0].role, ListedRole::Backend);
    assert!(!visible_hosts[0].leaving);
}

#[tokio::test]
async fn malformed_addresses_are_rejected() {
    let registry = Arc::new(HostRegistry::default());
    let client = HostListClient::new(new_client(), serve(host_list_router(&registry)).await);
    registry.put(HostEntry {
        address: "nowhere".to_owned(),
        ..host("a")
    });
    let error = client.hosts().await.expect_err("an error");
    assert_eq!(error.detail, "address `nowhere`");
}
