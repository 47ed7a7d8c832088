//! Responses that are no answer, whose calls may have been executed.

use std::net::SocketAddr;

use http_body_util::BodyExt;
use teaselglade_core::verdict::SendProgress;
use teaselglade_net::client::{HttpClient, HttpRequest, HttpResponse, Result};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const BODY: &[u8] = b"0123456789abcdef";
/// Length of an upload, far more than sockets hold.
const UPLOAD_BYTES: usize = 24 * 1024 * 1024;

/// Starts a server that answers a call with these bytes and closes its connection.
pub async fn start_server(response: Vec<u8>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut request = [0; 1_024];
        let _length = stream.read(&mut request).await.expect("a request");
        stream.write_all(&response).await.expect("sent");
    });
    address
}

/// Calls a server that responds with a status line, a header line and a body.
async fn call(status_line: &str, line: &str) -> Result<HttpResponse> {
    let head = format!("{status_line}\r\n{line}\r\n\r\n");
    let address = start_server([head.as_bytes(), BODY].concat()).await;
    HttpClient::default()
        .call(HttpRequest::get(address, "/"))
        .await
}

#[tokio::test]
async fn a_response_without_a_final_status_fails_its_call() {
    for status in ["000", "099", "101", "199", "600", "999", "0", "2000"] {
        for framing in ["content-length: 16", "connection: close"] {
            let called = call(&format!("HTTP/1.1 {status} Odd"), framing).await;
            let error = called.expect_err(status);
            assert_eq!(error.progress, SendProgress::MaybeSent, "{status}");
        }
    }
    for status in [200, 299, 404, 503, 599] {
        let called = call(&format!("HTTP/1.1 {status} Odd"), "content-length: 16").await;
        let response = called.expect("a response");
        assert_eq!((response.status, &*response.body), (status, BODY));
    }
}

#[tokio::test]
async fn a_response_with_an_invalid_header_fails_its_call() {
    for line in [
        "x odd: 1",
        "x-odd : 1",
        " x-odd: 1",
        "x\u{1}odd: 1",
        "x-odd",
    ] {
        let line = format!("{line}\r\ncontent-length: 16");
        let error = call("HTTP/1.1 200 OK", &line).await.expect_err(&line);
        assert_eq!(error.progress, SendProgress::MaybeSent, "{line}");
    }
}

#[tokio::test]
async fn a_response_with_another_transfer_coding_than_chunked_fails_its_call() {
    let repeated = "chunked\r\ntransfer-encoding: chunked";
    for coding in [
        "gzip",
        "gzip, chunked",
        "chunked, chunked",
        "xchunked",
        repeated,
    ] {
        let line = format!("transfer-encoding: {coding}");
        let error = call("HTTP/1.1 200 OK", &line).await.expect_err(coding);
        assert_eq!(error.progress, SendProgress::MaybeSent, "{coding}");
    }
}

/// Bytes of an upload after which its connection is reset.
const RESET_AFTER: [usize; 5] = [0, 1, 100_000, UPLOAD_BYTES / 8, UPLOAD_BYTES / 2];

/// Either the write of the upload or the read of the response gets the error of a reset.
#[tokio::test]
async fn a_response_that_is_reset_beside_an_upload_fails_its_call() {
    for read_bytes in RESET_AFTER {
        for is_kept in [false, true].repeat(4) {
            let (client, upload) = start_upload(read_bytes, is_kept).await;
            let error = client.call(upload).await.expect_err("a cut response");
            let case = format!("{read_bytes} bytes, kept {is_kept}");
            assert_eq!(error.progress, SendProgress::MaybeSent, "{case}");
        }
    }
}

/// A response whose head has been returned must not end as if it were whole.
#[tokio::test]
async fn a_streamed_response_that_is_reset_beside_an_upload_ends_with_an_error() {
    for read_bytes in RESET_AFTER {
        for is_kept in [false, true].repeat(4) {
            let (client, upload) = start_upload(read_bytes, is_kept).await;
            if let Ok(response) = client.send_streaming(upload).await {
                let collected = response.into_body().collect().await;
                let case = format!("{read_bytes} bytes, kept {is_kept}");
                assert!(collected.is_err(), "{case}: {collected:?}");
            }
        }
    }
}

/// Starts a server that resets its connection; returns a client and an upload to the server.
async fn start_upload(read_bytes: usize, is_kept: bool) -> (HttpClient, HttpRequest) {
    let address = start_resetting_server(read_bytes, is_kept).await;
    let client = start_client(address, is_kept).await;
    let upload = HttpRequest::post(address, "/", vec![b'u'; UPLOAD_BYTES]);
    (client, upload)
}

#[tokio::test]
async fn a_response_without_a_final_status_on_a_kept_connection_fails_its_call() {
    for framing in ["content-length: 16", "connection: close"] {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        tokio::spawn(async move {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            answer_first(&mut stream).await;
            let mut request = [0; 1_024];
            let _length = stream.read(&mut request).await.expect("a request");
            let head = format!("HTTP/1.1 000 Odd\r\n{framing}\r\n\r\n");
            let response = [head.as_bytes(), BODY].concat();
            stream.write_all(&response).await.expect("sent");
        });
        let client = start_client(address, true).await;
        let called = client.call(HttpRequest::get(address, "/")).await;
        let error = called.expect_err("no status");
        assert_eq!(error.progress, SendProgress::MaybeSent, "{framing}");
    }
}

/// Returns a client, which has a connection to the server if one is kept.
async fn start_client(address: SocketAddr, is_kept: bool) -> HttpClient {
    let client = HttpClient::default();
    if is_kept {
        let first = client.call(HttpRequest::get(address, "/")).await;
        assert_eq!(first.expect("a response").status, 204);
    }
    client
}

/// Answers the first request of a connection, which is kept.
async fn answer_first(stream: &mut TcpStream) {
    let mut request = [0; 1_024];
    let _length = stream.read(&mut request).await.expect("a request");
    let response = b"HTTP/1.1 204 None\r\n\r\n";
    stream.write_all(response).await.expect("sent");
}

/// Starts a server that responds at once, without a length, and resets its only connection.
///
/// It reads this many bytes of the request before the reset. If the connection is kept, it answers
/// another request before.
async fn start_resetting_server(read_bytes: usize, is_kept: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        if is_kept {
            answer_first(&mut stream).await;
        }
        let response = [b"HTTP/1.1 200 OK\r\n\r\n", BODY].concat();
        let mut buffer = vec![0; 64 * 1024];
        let mut read = stream.read(&mut buffer).await.expect("a request");
        stream.write_all(&response).await.expect("sent");
        while read < read_bytes {
            read += stream.read(&mut buffer).await.expect("an upload");
        }
        stream.set_zero_linger().expect("an option");
    });
    address
}
