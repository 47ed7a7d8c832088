//! Entries of the host list that name no host to use.

use std::sync::Arc;

use serde_json::{Value, json};
use teaselglade_core::port::HostListPort;
use teaselglade_net::client::HttpClient;
use teaselglade_net::platform::HostListClient;

use super::invalid_responses::start_server;

fn entry(name: &str) -> Value {
    json!({
        "name": name, "incarnation": 1, "role": "backend", "address": "127.0.0.1:7600",
        "zone": "galway", "class": "old", "service": "desk", "cents_per_hour": 4.5,
        "reclaimable": true, "leaving": false,
    })
}

fn entry_with(field: &str, value: Value) -> Value {
    let mut entry = entry("odd");
    entry[field] = value;
    entry
}

#[tokio::test]
async fn an_entry_that_names_no_host_is_passed_over_alone() {
    let odd_entries = [
        json!(null),
        json!({}),
        json!([[[]]]),
        entry_with("address", json!("nowhere")),
        entry_with("address", json!("127.0.0.1:70000")),
        entry_with("role", json!("stranger")),
        entry_with("incarnation", json!(-1)),
        entry_with("zone", Value::Null),
    ];
    for odd in odd_entries {
        let hosts = json!({"hosts": [entry("first"), odd, entry("last")]}).to_string();
        let length = hosts.len();
        let response = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{hosts}");
        let address = start_server(response.into_bytes()).await;
        let client = HostListClient::new(Arc::new(HttpClient::default()), address);
        let hosts = client.hosts().await.expect("a list");
        let names: Vec<&str> = hosts.iter().map(|host| host.name.as_str()).collect();
        assert_eq!(names, ["first", "last"], "{odd}");
    }
}
