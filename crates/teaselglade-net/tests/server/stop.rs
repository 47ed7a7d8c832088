//! Connections that a stopping server closes.

use std::convert::Infallible;
use std::future::pending;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Response;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use teaselglade_net::server::{HttpServer, OpenConnections, ServerHandle, stream_response};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::task::yield_now;
use tokio::time::{sleep, timeout};
use viz::{Request, Router};

const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n";
const STREAM_REQUEST: &[u8] = b"GET /stream HTTP/1.1\r\nHost: a\r\n\r\n";

/// Starts a server with a plain route and one whose answer is what the sender gets.
async fn start_server() -> (ServerHandle, SocketAddr, mpsc::Sender<Bytes>) {
    let server = HttpServer::bind(SocketAddr::from(([127, 0, 0, 1], 0)))
        .await
        .expect("a port");
    let address = server.address().expect("an address");
    let (sender, receiver) = mpsc::channel(8);
    let receiver = Arc::new(Mutex::new(Some(receiver)));
    let router = Router::new()
        .get("/", |_request: Request| async { Ok("served") })
        .get("/stream", move |_request: Request| {
            let receiver = receiver.lock().expect("a lock").take();
            let receiver: mpsc::Receiver<Bytes> = receiver.expect("one stream");
            let chunks = futures::stream::unfold(receiver, |mut receiver| async move {
                let chunk = receiver.recv().await?;
                Some((Ok(chunk), receiver))
            });
            async move { Ok(stream_response(200, "text/plain", chunks)) }
        });
    (server.start(router), address, sender)
}

/// Reads until the bytes end with `end`; returns all.
async fn read_until(stream: &mut TcpStream, end: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::new();
    let read = async {
        while !bytes.ends_with(end) {
            let read = stream.read_buf(&mut bytes).await.expect("read");
            assert!(read > 0, "closed after {bytes:?}");
        }
    };
    timeout(WAIT_TIMEOUT, read).await.expect("the bytes arrive");
    bytes
}

/// Sends requests on open connections between any two steps of the server, which stops meanwhile.
#[tokio::test]
async fn requests_that_lie_unread_when_a_server_closes_idle_connections_are_answered() {
    let (handle, address, _sender) = start_server().await;
    let mut connections = Vec::new();
    for number in 0..200 {
        let mut stream = TcpStream::connect(address).await.expect("a connection");
        if number % 2 == 0 {
            stream.write_all(REQUEST).await.expect("sent");
            read_until(&mut stream, b"served").await;
        }
        connections.push(stream.into_std().expect("a stream"));
    }
    let stopped = tokio::spawn(handle.stop());
    let mut asked = Vec::new();
    for mut connection in connections {
        let peeked = connection.peek(&mut [0]);
        let is_open = peeked.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock);
        // Requests that cross a close are no part of this test.
        if is_open && connection.write_all(REQUEST).is_ok() {
            std::thread::sleep(Duration::from_millis(2));
            asked.push(connection);
        }
        yield_now().await;
    }
    stopped.await.expect("the server stops");
    assert!(!asked.is_empty(), "no request was sent");
    for (number, mut connection) in asked.into_iter().enumerate() {
        let mut response = Vec::new();
        let _reset = connection.read_to_end(&mut response);
        assert!(response.ends_with(b"served"), "{number}: {response:?}");
    }
}

/// The head of the stream was sent before the stop, so that it could not announce the close.
#[tokio::test]
async fn a_request_behind_a_running_stream_is_answered_when_a_server_stops() {
    let (handle, address, sender) = start_server().await;
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    stream.write_all(STREAM_REQUEST).await.expect("sent");
    sender
        .send(Bytes::from_static(b"first"))
        .await
        .expect("sent");
    read_until(&mut stream, b"first\r\n").await;
    let stopped = tokio::spawn(handle.stop());
    // The server asks its connections to close within this time.
    sleep(Duration::from_millis(600)).await;
    stream.write_all(REQUEST).await.expect("sent");
    sender
        .send(Bytes::from_static(b"last"))
        .await
        .expect("sent");
    drop(sender);
    let mut bytes = Vec::new();
    let _closed = timeout(WAIT_TIMEOUT, stream.read_to_end(&mut bytes)).await;
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let (rest, second) = text.split_once("0\r\n\r\n").expect("the stream's end");
    assert!(rest.contains("last"), "{text}");
    assert!(second.starts_with("HTTP/1.1 200"), "{text}");
    assert!(second.contains("connection: close"), "{text}");
    assert!(second.ends_with("served"), "{text}");
    drop(stream);
    stopped.await.expect("the server stops");
}

/// A caller that never closes its side holds up the stop for a bounded time only.
#[tokio::test]
async fn a_caller_that_keeps_its_connection_open_does_not_hold_up_a_stop() {
    let (handle, address, _sender) = start_server().await;
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    stream.write_all(REQUEST).await.expect("sent");
    read_until(&mut stream, b"served").await;
    let half_head = TcpStream::connect(address).await.expect("a connection");
    half_head.try_write(b"GET / HT").expect("sent");
    timeout(WAIT_TIMEOUT, handle.stop())
        .await
        .expect("the server stops");
    drop((stream, half_head));
}

/// The connections have tasks of their own, which outlive that of the listener.
#[tokio::test]
async fn an_answer_is_waited_for_although_its_listener_has_failed() {
    let connections = Arc::new(OpenConnections::default());
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let (started, mut starts) = mpsc::channel(1);
    let (release, released) = oneshot::channel::<()>();
    let accepting = tokio::spawn({
        let connections = Arc::clone(&connections);
        async move {
            let (socket, _caller) = listener.accept().await.expect("a connection");
            let released = Mutex::new(Some(released));
            let service = service_fn(move |_request| {
                let released = released.lock().expect("a lock").take();
                let started = started.clone();
                async move {
                    started.send(()).await.expect("sent");
                    released.expect("one request").await.expect("released");
                    Ok::<_, Infallible>(Response::new(Full::new(Bytes::from_static(b"served"))))
                }
            });
            let served = connections.serve(socket, service, |io, service| {
                Builder::new().serve_connection(io, service)
            });
            tokio::spawn(served);
            pending::<()>().await;
        }
    });
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    stream.write_all(REQUEST).await.expect("sent");
    starts.recv().await.expect("the request has started");
    accepting.abort();
    let _aborted = accepting.await;
    let mut stopping = tokio::spawn(async move { connections.shut_down().await });
    let early = timeout(Duration::from_secs(1), &mut stopping).await;
    assert!(early.is_err(), "the request was not waited for");
    release.send(()).expect("released");
    let bytes = read_until(&mut stream, b"served").await;
    let text = String::from_utf8_lossy(&bytes);
    assert!(text.contains("connection: close"), "{text}");
    stopping.await.expect("the connection ends");
}

/// Nothing is left to read on a connection that was idle for long, so that its close is not waited for.
#[tokio::test]
async fn a_stop_closes_idle_connections_without_waiting_for_their_callers() {
    let (handle, address, _sender) = start_server().await;
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    stream.write_all(REQUEST).await.expect("sent");
    read_until(&mut stream, b"served").await;
    sleep(Duration::from_millis(1_200)).await;
    let stopped = tokio::spawn(handle.stop());
    let mut byte = [0];
    let read = stream.read(&mut byte).await.expect("the close");
    assert_eq!(read, 0);
    // The caller keeps its side open; the runtime does what is left without a timer.
    for _ in 0..100 {
        yield_now().await;
    }
    assert!(stopped.is_finished());
}
