//! Requests in hand when a daemon stops or gets a signal that isn't meant to stop it.

use std::net::SocketAddr;
use std::time::Duration;

use teaselglade::caller::StreamRequest;
use teaselglade_net::client::HttpRequest;
use teaselglade_standins::engine::response_text;
use teaselglade_standins::fleet::FleetPlan;
use teaselglade_wire::GenerateBody;
use teaselglade_wire::codec::to_json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use super::harness::TestFleet;
use super::stream_load::StreamLoad;

const LOAD: StreamLoad = StreamLoad {
    streams: 8,
    tokens: 120,
};
/// Streams that outlast a short stop.
const LONG_LOAD: StreamLoad = StreamLoad {
    streams: 1,
    tokens: 600,
};
/// Time after which the streams are in progress.
const FAULT_DELAY: Duration = Duration::from_millis(400);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const SHORT_DRAIN_TIMEOUT: Duration = Duration::from_secs(4);
const WAIT_TIMEOUT: Duration = Duration::from_mins(1);
const MAX_RESUMES: u32 = 100;

/// Returns the head and the body of a request for a stream.
pub fn request_parts(request: &StreamRequest) -> (String, Vec<u8>) {
    let body = GenerateBody {
        prompt: request.prompt.clone(),
        max_tokens: request.max_tokens,
        stream: Some(true),
        adapter: None,
    };
    let body = to_json(&body).expect("the body is encoded").to_vec();
    let head = format!(
        "POST /v1/services/{}/generate HTTP/1.1\r\nhost: entry\r\nx-organisation: {}\r\n\
         content-type: application/json\r\ncontent-length: {}\r\n\r\n",
        request.service,
        request.organisation,
        body.len(),
    );
    (head, body)
}

/// Reads a connection until it ends or holds `text`; returns all of it.
pub async fn read_until(connection: &mut TcpStream, text: &str) -> String {
    let mut received = Vec::new();
    let read = async {
        let mut buffer = [0; 4_096];
        while let Ok(count @ 1..) = connection.read(&mut buffer).await {
            received.extend_from_slice(&buffer[..count]);
            if String::from_utf8_lossy(&received).contains(text) {
                break;
            }
        }
    };
    timeout(WAIT_TIMEOUT, read)
        .await
        .expect("the host responds or closes the connection");
    String::from_utf8_lossy(&received).into_owned()
}

/// Returns the request id in the head of a response.
pub fn request_id(response: &str) -> &str {
    let mut lines = response.lines();
    let id = lines.find_map(|line| line.strip_prefix("x-request-id: "));
    id.unwrap_or_else(|| panic!("no request id in `{response}`"))
}

/// Asks a host for an answer from its first token until it gives the whole.
///
/// # Errors
///
/// Returns the last response if the whole never comes.
pub async fn resume_whole(
    fleet: &TestFleet,
    callers: SocketAddr,
    id: &str,
) -> Result<String, String> {
    let mut last = String::new();
    for _resume in 0..MAX_RESUMES {
        let request = HttpRequest::get(callers, format!("/v1/requests/{id}"));
        let response = fleet.http.call(request.head_timeout(WAIT_TIMEOUT)).await;
        last = match response {
            Ok(response) => String::from_utf8_lossy(&response.body).into_owned(),
            Err(error) => error.to_string(),
        };
        if last.contains("event:end") || last.contains("event: end") {
            return Ok(last);
        }
        sleep(POLL_INTERVAL).await;
    }
    Err(format!("the answer {id} is lost: `{last}`"))
}

/// Returns the text of the tokens in a stream of events.
pub fn answer_text(events: &str) -> String {
    let tokens = events.lines().filter_map(|line| {
        let data = line.strip_prefix("data:")?.trim_start();
        let token = serde_json::from_str::<serde_json::Value>(data).ok()?;
        token.get("text")?.as_str().map(str::to_owned)
    });
    tokens.collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_hang_up_signal_ends_no_stream() {
    let mut fleet = TestFleet::start(FleetPlan::dragons_sleeve(), 1).await;
    let signals = async {
        sleep(FAULT_DELAY).await;
        fleet.entries[0].process.signal("HUP");
        fleet.entries[0].process.signal("HUP");
        fleet.entries[0].process.signal("TERM");
        fleet.entries[0].process.signal("HUP");
    };
    let (reports, ()) = tokio::join!(LOAD.run(&fleet), signals);
    LOAD.assert_complete(&reports);
    assert!(reports.iter().all(|report| report.resumes == 0));
    assert!(
        fleet.entries[0].process.wait(),
        "the daemon exits successfully"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_body_ends_after_the_signal_is_refused_or_handed_over() {
    let plan = FleetPlan::dragons_sleeve();
    let mut fleet = TestFleet::start_with_drain(plan, 2, SHORT_DRAIN_TIMEOUT).await;
    let request = LONG_LOAD.request(0);
    let (head, body) = request_parts(&request);
    let (first, rest) = body.split_at(body.len() / 2);
    let callers = fleet.callers();
    let mut connection = TcpStream::connect(callers[0]).await.expect("a connection");
    connection.write_all(head.as_bytes()).await.expect("sent");
    connection.write_all(first).await.expect("sent");
    sleep(FAULT_DELAY).await;
    fleet.entries[0].process.signal("TERM");
    sleep(FAULT_DELAY).await;
    connection.write_all(rest).await.expect("sent");
    let response = read_until(&mut connection, "event:end").await;
    if response.starts_with("HTTP/1.1 503") {
        assert!(response.contains("\"verdict\":\"not_run\""), "{response}");
    } else {
        let events = resume_whole(&fleet, callers[1], request_id(&response)).await;
        let events = events.unwrap_or_else(|lost| panic!("{lost}"));
        let expected = response_text(&request.prompt, request.max_tokens);
        assert_eq!(answer_text(&events), expected);
    }
    assert!(
        fleet.entries[0].process.wait(),
        "the daemon exits successfully"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_ended_without_its_caller_outlives_the_stop_of_its_host() {
    let mut fleet = TestFleet::start(FleetPlan::dragons_sleeve(), 2).await;
    let request = LOAD.request(0);
    let (head, body) = request_parts(&request);
    let callers = fleet.callers();
    let mut connection = TcpStream::connect(callers[0]).await.expect("a connection");
    connection.write_all(head.as_bytes()).await.expect("sent");
    connection.write_all(&body).await.expect("sent");
    let response = read_until(&mut connection, "\"index\":0").await;
    drop(connection);
    while fleet.status(&fleet.entries[0]).await.streams > 0 {
        sleep(POLL_INTERVAL).await;
    }
    fleet.entries[0].process.signal("TERM");
    assert!(
        fleet.entries[0].process.wait(),
        "the daemon exits successfully"
    );
    let events = resume_whole(&fleet, callers[1], request_id(&response)).await;
    let events = events.unwrap_or_else(|lost| panic!("{lost}"));
    let expected = response_text(&request.prompt, request.max_tokens);
    assert_eq!(answer_text(&events), expected);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_at_a_peer_gets_the_end_of_a_stream_whose_host_stops() {
    let mut fleet = TestFleet::start(FleetPlan::dragons_sleeve(), 2).await;
    let request = LOAD.request(0);
    let (head, body) = request_parts(&request);
    let callers = fleet.callers();
    let mut connection = TcpStream::connect(callers[0]).await.expect("a connection");
    connection.write_all(head.as_bytes()).await.expect("sent");
    connection.write_all(&body).await.expect("sent");
    let response = read_until(&mut connection, "\"index\":0").await;
    drop(connection);
    let events = resume_whole(&fleet, callers[1], request_id(&response));
    let stop = async {
        sleep(FAULT_DELAY).await;
        fleet.entries[0].process.signal("TERM");
    };
    let (events, ()) = tokio::join!(events, stop);
    let events = events.unwrap_or_else(|lost| panic!("{lost}"));
    let expected = response_text(&request.prompt, request.max_tokens);
    assert_eq!(answer_text(&events), expected);
    assert!(
        fleet.entries[0].process.wait(),
        "the daemon exits successfully"
    );
}
