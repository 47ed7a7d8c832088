//! Bursts of connections that arrive faster than they are accepted.

use std::net::SocketAddr;
use std::time::Duration;

use futures::future::try_join_all;
use teaselglade_net::server::HttpServer;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::time::timeout;
use viz::{Request, Router};

/// Number of connections, above the default backlog of a listening socket.
const BURST_CONNECTIONS: usize = 1_500;
const BURST_TIMEOUT: Duration = Duration::from_mins(1);

#[tokio::test]
async fn a_burst_of_connections_waits_to_be_accepted() {
    let server = HttpServer::bind(SocketAddr::from(([127, 0, 0, 1], 0)))
        .await
        .expect("a port");
    let address = server.address().expect("an address");
    // The server is not started. Connections beyond the backlog would never be established.
    let burst = try_join_all((0..BURST_CONNECTIONS).map(|_| TcpStream::connect(address)));
    let connected = timeout(BURST_TIMEOUT, burst)
        .await
        .expect("all connections are established in time");
    assert_eq!(connected.expect("connections").len(), BURST_CONNECTIONS);
}

/// The kernel has accepted the connections, the server has not: closing its listener would reset them.
#[tokio::test]
async fn requests_on_queued_connections_are_answered_when_a_server_stops() {
    let server = HttpServer::bind(SocketAddr::from(([127, 0, 0, 1], 0)))
        .await
        .expect("a port");
    let address = server.address().expect("an address");
    let router = Router::new().get("/", |_request: Request| async { Ok("served") });
    let handle = server.start(router);
    tokio::task::yield_now().await;
    // Nothing is awaited until the stop, so that the server accepts none of them before it.
    let connections: Vec<std::net::TcpStream> = (0..20)
        .map(|_| {
            let mut stream = std::net::TcpStream::connect(address).expect("a connection");
            let request = b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
            std::io::Write::write_all(&mut stream, request).expect("sent");
            stream.set_nonblocking(true).expect("an option");
            stream
        })
        .collect();
    handle.stop().await;
    for connection in connections {
        let mut stream = TcpStream::from_std(connection).expect("a stream");
        let mut response = Vec::new();
        let _reset = stream.read_to_end(&mut response).await;
        assert!(response.ends_with(b"served"), "{response:?}");
    }
}
