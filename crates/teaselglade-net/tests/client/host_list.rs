//! Entries of the host list that name no host to use.

use std::sync::Arc;

use serde_json::{Value, json};
use teaselglade_core::port::{AttemptError, HostListPort, ListedHost};
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
        let hosts = json!({"hosts": [entry("first"), odd, entry("last")]});
        let hosts = read_list(&hosts).await.expect("a list");
        let names: Vec<&str> = hosts.iter().map(|host| host.name.as_str()).collect();
        assert_eq!(names, ["first", "last"], "{odd}");
    }
}

#[tokio::test]
async fn a_response_that_is_no_list_fails_the_call() {
    for response in [json!([]), json!({}), json!({"hosts": {}}), json!("hosts")] {
        let error = read_list(&response).await.expect_err("no list");
        assert!(error.detail.starts_with("malformed message"), "{error:?}");
    }
}

/// Reads the host list from a server that responds so.
async fn read_list(response: &Value) -> Result<Vec<ListedHost>, AttemptError> {
    let body = response.to_string();
    let length = body.len();
    let response = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}");
    let address = start_server(response.into_bytes()).await;
    let client = HostListClient::new(Arc::new(HttpClient::default()), address);
    client.hosts().await
}
