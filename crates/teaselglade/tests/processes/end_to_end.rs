//! A stream and a keyed call through all processes, and malformed requests.

use std::net::SocketAddr;

use teaselglade::caller::{CallerClient, PlainReport, StreamRequest};
use teaselglade_net::client::{HttpRequest, HttpResponse};
use teaselglade_standins::engine::response_text;
use teaselglade_standins::fleet::FleetPlan;
use teaselglade_wire::codec::from_json;
use teaselglade_wire::{ErrorBody, Verdict};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::harness::TestFleet;

const ENTRIES: usize = 3;
const OVERSIZED_BODY_BYTES: usize = 2 * 1024 * 1024;

fn stream_request(prompt: &str) -> StreamRequest {
    StreamRequest {
        organisation: "halloran-galway".to_owned(),
        service: "draft-fleet".to_owned(),
        prompt: prompt.to_owned(),
        max_tokens: 12,
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_and_a_keyed_call_are_served_by_separate_processes() {
    let fleet = TestFleet::start(FleetPlan::corrib(), ENTRIES).await;
    let mut controls = [0, 1].map(|index| fleet.start_control(index));
    let client = CallerClient::default();
    for entry in fleet.callers() {
        let report = client
            .generate(&[entry], &stream_request("assess a ring"))
            .await;
        assert!(report.is_complete(), "{report:?}");
        assert_eq!(report.text(), response_text("assess a ring", 12));
        let key = uuid::Uuid::now_v7().to_string();
        let report = client
            .call_plain(
                entry,
                "halloran-galway",
                "ticket-desk",
                Some(&key),
                "deposit",
            )
            .await;
        assert!(
            matches!(report, PlainReport::Responded { status: 200, .. }),
            "{report:?}"
        );
    }
    for control in &mut controls {
        control.signal("TERM");
        assert!(control.wait(), "the control daemon exits successfully");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn malformed_requests_get_a_clear_error_and_the_daemon_keeps_serving() {
    let fleet = TestFleet::start(FleetPlan::corrib(), 1).await;
    let entry = fleet.callers()[0];
    let generate = |body: String| {
        HttpRequest::post(entry, "/v1/services/draft-fleet/generate", body)
            .header("x-organisation", "halloran-galway")
    };
    let oversized = format!(
        "{{\"prompt\":\"{}\",\"max_tokens\":1}}",
        "x".repeat(OVERSIZED_BODY_BYTES)
    );
    let body = "{\"prompt\":\"a\",\"max_tokens\":1}";
    let unknown_organisation = HttpRequest::post(entry, "/v1/services/draft-fleet/generate", body)
        .header("x-organisation", "nobody");
    let unknown_service = HttpRequest::post(entry, "/v1/services/nothing/generate", body)
        .header("x-organisation", "halloran-galway");
    let cases = [
        (generate("{\"prompt\":\"cut".to_owned()), 400, "bad_request"),
        (
            generate("{\"prompt\":\"a\",\"max_tokens\":0}".to_owned()),
            400,
            "bad_request",
        ),
        (generate(oversized), 413, "too_large"),
        (unknown_organisation, 403, "unknown_organisation"),
        (unknown_service, 404, "unknown_service"),
    ];
    for (request, status, reason) in cases {
        let response = fleet.http.call(request).await.expect("a response");
        assert_refused(&response, status, reason);
    }
    let report = CallerClient::default()
        .generate(&[entry], &stream_request("assess a chain"))
        .await;
    assert!(report.is_complete(), "{report:?}");
}

/// Sends a request whose body is shorter than its `content-length` and returns the response.
async fn send_truncated(entry: SocketAddr) -> String {
    let mut stream = TcpStream::connect(entry).await.expect("a connection");
    let request = "POST /v1/services/draft-fleet/generate HTTP/1.1\r\nhost: entry\r\n\
        x-organisation: halloran-galway\r\ncontent-length: 100\r\n\r\n{\"prompt\":\"cut";
    stream
        .write_all(request.as_bytes())
        .await
        .expect("the request is sent");
    stream.shutdown().await.expect("the write half closes");
    let mut response = String::new();
    stream
        .read_to_string(&mut response)
        .await
        .expect("a response");
    response
}

#[tokio::test(flavor = "multi_thread")]
async fn a_truncated_request_is_refused_as_not_run_and_the_daemon_keeps_serving() {
    let fleet = TestFleet::start(FleetPlan::corrib(), 1).await;
    let entry = fleet.callers()[0];
    let response = send_truncated(entry).await;
    assert!(response.starts_with("HTTP/1.1 400"), "{response}");
    assert!(response.contains("\"verdict\":\"not_run\""), "{response}");
    let report = CallerClient::default()
        .generate(&[entry], &stream_request("assess a brooch"))
        .await;
    assert!(report.is_complete(), "{report:?}");
}

fn assert_refused(response: &HttpResponse, status: u16, reason: &str) {
    let body = from_json::<ErrorBody>(&response.body).expect("an error body");
    assert_eq!(response.status, status, "{body:?}");
    assert_eq!(body.reason, reason);
    assert_eq!(body.verdict, Verdict::NotRun);
}
