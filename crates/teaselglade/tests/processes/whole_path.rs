//! A stream and a booking from one end to the other, and requests that are malformed.

use std::net::SocketAddr;

use teaselglade::caller::{CallerClient, PlainReport, StreamQuery};
use teaselglade_net::client::{HttpRequest, HttpResponse};
use teaselglade_standins::engine::response_text;
use teaselglade_standins::fleet::FleetPlan;
use teaselglade_wire::codec::from_json;
use teaselglade_wire::{ErrorBody, Verdict};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::harness::TestFleet;

const ENTRIES: usize = 3;
const TOO_LARGE: usize = 2 * 1024 * 1024;

fn query(prompt: &str) -> StreamQuery {
    StreamQuery {
        organisation: "halloran-galway".to_owned(),
        service: "draft-fleet".to_owned(),
        prompt: prompt.to_owned(),
        max_tokens: 12,
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_and_booking_are_served_by_separate_processes() {
    let fleet = TestFleet::start(FleetPlan::corrib(), ENTRIES).await;
    let mut controls = [0, 1].map(|index| fleet.start_control(index));
    let client = CallerClient::default();
    for entry in fleet.callers() {
        let report = client.generate(&[entry], &query("assess a ring")).await;
        assert!(report.is_whole(), "{report:?}");
        assert_eq!(report.text(), response_text("assess a ring", 12));
        let key = uuid::Uuid::now_v7().to_string();
        let booked = client
            .call_plain(
                entry,
                "halloran-galway",
                "ticket-desk",
                Some(&key),
                "deposit",
            )
            .await;
        assert!(
            matches!(booked, PlainReport::Answered { status: 200, .. }),
            "{booked:?}"
        );
    }
    for control in &mut controls {
        control.signal("TERM");
        assert!(control.wait(), "the control daemon ends with success");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn malformed_requests_get_a_clear_error_and_the_daemon_goes_on() {
    let fleet = TestFleet::start(FleetPlan::corrib(), 1).await;
    let entry = fleet.callers()[0];
    let generate = |body: String| {
        HttpRequest::post(entry, "/v1/services/draft-fleet/generate", body)
            .header("x-organisation", "halloran-galway")
    };
    let large = format!(
        "{{\"prompt\":\"{}\",\"max_tokens\":1}}",
        "x".repeat(TOO_LARGE)
    );
    let known = "{\"prompt\":\"a\",\"max_tokens\":1}";
    let unknown = HttpRequest::post(entry, "/v1/services/draft-fleet/generate", known)
        .header("x-organisation", "nobody");
    let other = HttpRequest::post(entry, "/v1/services/nothing/generate", known)
        .header("x-organisation", "halloran-galway");
    let cases = [
        (generate("{\"prompt\":\"cut".to_owned()), 400, "bad_request"),
        (
            generate("{\"prompt\":\"a\",\"max_tokens\":0}".to_owned()),
            400,
            "bad_request",
        ),
        (generate(large), 413, "too_large"),
        (unknown, 403, "unknown_organisation"),
        (other, 404, "unknown_service"),
    ];
    for (call, status, reason) in cases {
        let answer = fleet.caller.call(call).await.expect("an answer");
        assert_refused(&answer, status, reason);
    }
    let report = CallerClient::default()
        .generate(&[entry], &query("assess a chain"))
        .await;
    assert!(report.is_whole(), "{report:?}");
}

/// Sends a request whose body ends before its length and returns the whole answer.
async fn send_truncated(entry: SocketAddr) -> String {
    let mut stream = TcpStream::connect(entry).await.expect("a connection");
    let request = "POST /v1/services/draft-fleet/generate HTTP/1.1\r\nhost: entry\r\n\
        x-organisation: halloran-galway\r\ncontent-length: 100\r\n\r\n{\"prompt\":\"cut";
    stream
        .write_all(request.as_bytes())
        .await
        .expect("the request is sent");
    stream.shutdown().await.expect("the sending side closes");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.expect("an answer");
    answer
}

#[tokio::test(flavor = "multi_thread")]
async fn truncated_request_is_refused_as_not_run_and_the_daemon_goes_on() {
    let fleet = TestFleet::start(FleetPlan::corrib(), 1).await;
    let entry = fleet.callers()[0];
    let answer = send_truncated(entry).await;
    assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
    assert!(answer.contains("\"verdict\":\"not_run\""), "{answer}");
    let report = CallerClient::default()
        .generate(&[entry], &query("assess a brooch"))
        .await;
    assert!(report.is_whole(), "{report:?}");
}

fn assert_refused(answer: &HttpResponse, status: u16, reason: &str) {
    let body = from_json::<ErrorBody>(&answer.body).expect("an error body");
    assert_eq!(answer.status, status, "{body:?}");
    assert_eq!(body.reason, reason);
    assert_eq!(body.verdict, Verdict::NotRun);
}
