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
async fn entries_with_malformed_addresses_are_rejected_alone() {
    let registry = Arc::new(HostRegistry::default());
    let client = HostListClient::new(new_client(), serve(host_list_router(&registry)).await);
    for (name, address) in [("a", "nowhere"), ("b", "127.0.0.1:9"), ("c", "127.0.0.1")] {
        registry.put(HostEntry {
            address: address.to_owned(),
            ..host(name)
        });
    }
    let hosts = client.hosts().await.expect("the list");
    let names: Vec<&str> = hosts.iter().map(|host| host.name.as_str()).collect();
    assert_eq!(names, ["b"]);
}
