//! Limits on the time that a response body may take.

use std::net::SocketAddr;
use std::time::Duration;

use teaselglade_net::client::{HttpClient, HttpRequest};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::sleep;

const BODY: &[u8] = b"0123456789abcdef";

/// Starts a server that sends `sent` bytes of a body one by one, at intervals, and then waits.
async fn start_slow_server(interval: Duration, sent: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut request = [0; 1_024];
        let _length = stream.read(&mut request).await.expect("a request");
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", BODY.len());
        stream.write_all(head.as_bytes()).await.expect("sent");
        for byte in &BODY[..sent] {
            sleep(interval).await;
            stream.write_all(&[*byte]).await.expect("sent");
        }
        // The connection stays open until the client gives up.
        let _ended = stream.read(&mut request).await;
    });
    address
}

#[tokio::test]
async fn a_body_that_flows_may_take_longer_than_its_parts() {
    let address = start_slow_server(Duration::from_millis(100), BODY.len()).await;
    let request = HttpRequest::get(address, "/")
        .head_timeout(Duration::from_millis(800))
        .stall_timeout(Duration::from_millis(800));
    let response = HttpClient::default().call(request).await;
    assert_eq!(response.expect("a whole response").body, BODY);
}

#[tokio::test]
async fn a_body_that_stalls_fails_and_names_the_bytes_received() {
    let address = start_slow_server(Duration::ZERO, 5).await;
    let request = HttpRequest::get(address, "/").stall_timeout(Duration::from_millis(300));
    let error = HttpClient::default().call(request).await;
    let error = error.expect_err("a stalled body");
    assert_eq!(error.detail, "answer stalled for 300ms, 5 bytes received");
}

#[tokio::test]
async fn a_small_body_is_limited_as_a_whole() {
    let address = start_slow_server(Duration::from_millis(100), BODY.len()).await;
    let request = HttpRequest::get(address, "/").head_timeout(Duration::from_millis(450));
    let error = HttpClient::default().call(request).await;
    let error = error.expect_err("a late body");
    assert!(error.detail.contains("in 450ms"), "{error}");
}
