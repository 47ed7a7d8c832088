//! Starts a stand-in and sets its faults.

use std::net::SocketAddr;
use std::sync::Arc;

use teaselglade_net::client::{HttpClient, HttpRequest};
use teaselglade_net::server::HttpServer;
use viz::Router;

/// Serves `router` on a free loopback port until the test ends.
pub async fn serve(router: Router) -> SocketAddr {
    let server = HttpServer::bind(SocketAddr::from(([127, 0, 0, 1], 0)))
        .await
        .expect("a port");
    let address = server.address().expect("an address");
    // Dropping the handle would stop the server, which must run until the test ends.
    let handle = server.start(router);
    std::mem::forget(handle);
    address
}

/// Creates a client without open connections.
pub fn new_client() -> Arc<HttpClient> {
    Arc::new(HttpClient::default())
}

/// Sets the faults of a stand-in from a JSON object of `FaultSettings`.
pub async fn set_faults(address: SocketAddr, faults: &str) {
    let request = HttpRequest::post(address, "/faults", faults.to_owned());
    let response = new_client()
        .call(request)
        .await
        .expect("a response of the stand-in");
    assert_eq!(response.status, 204, "{:?}", response.body);
}
