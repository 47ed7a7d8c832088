//! Bursts of connections that arrive faster than they are accepted.

use std::net::SocketAddr;
use std::time::Duration;

use futures::future::try_join_all;
use teaselglade_net::server::HttpServer;
use tokio::net::TcpStream;
use tokio::time::timeout;

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
