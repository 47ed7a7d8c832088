//! Starts one stand-in for a test.

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
    // The task goes on without its handle until the test's runtime ends.
    let handle = server.start(router);
    std::mem::forget(handle);
    address
}

/// Makes a client without open connections.
pub fn new_caller() -> Arc<HttpClient> {
    Arc::new(HttpClient::default())
}

/// Sets the faults of a stand-in, as JSON.
pub async fn set_faults(address: SocketAddr, faults: &str) {
    let call = HttpRequest::post(address, "/faults", faults.to_owned());
    let answer = new_caller().call(call).await.expect("the stand-in answers");
    assert_eq!(answer.status, 204, "{:?}", answer.body);
}
