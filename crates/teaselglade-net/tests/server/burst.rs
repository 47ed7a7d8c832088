//! Connections that arrive faster than they are accepted.

use std::net::SocketAddr;
use std::time::Duration;

use futures::future::try_join_all;
use teaselglade_net::server::HttpServer;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// More connections than a listening socket holds by default.
const BURST: usize = 1_500;
const PATIENCE: Duration = Duration::from_mins(1);

#[tokio::test]
async fn a_burst_of_connections_waits_to_be_accepted() {
    let server = HttpServer::bind(SocketAddr::from(([127, 0, 0, 1], 0)))
        .await
        .expect("a port");
    let address = server.address().expect("an address");
    // Nothing accepts; a socket that holds too few connections lets the others wait for ever.
    let burst = try_join_all((0..BURST).map(|_| TcpStream::connect(address)));
    let connected = timeout(PATIENCE, burst)
        .await
        .expect("no connection is held up");
    assert_eq!(connected.expect("connections").len(), BURST);
}
