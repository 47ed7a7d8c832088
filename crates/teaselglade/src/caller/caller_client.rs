//! Client of the public API.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use eventsource_stream::{Event, Eventsource};
use futures::StreamExt;
use http_body_util::BodyExt;
use teaselglade_net::client::{HttpClient, HttpRequest, HttpResponse};
use teaselglade_wire::codec::{from_json, to_json};
use teaselglade_wire::{EndEvent, ErrorBody, GenerateBody, TokenEvent};
use tokio::time::{sleep, timeout};

use super::{PlainReport, StreamOutcome, StreamReport};

const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
const EVENT_TIMEOUT: Duration = Duration::from_secs(10);
const RESUME_DELAY: Duration = Duration::from_millis(100);
const MAX_RESUMES: u32 = 20;

/// Model request of a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamRequest {
    /// Organisation that the caller belongs to.
    pub organisation: String,
    /// Name of the model service.
    pub service: String,
    /// Prompt text.
    pub prompt: String,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
}

/// Client of the entry hosts; reconnects to the next one, as a load balancer would.
#[derive(Debug, Default)]
pub struct CallerClient {
    http: HttpClient,
}

impl CallerClient {
    /// Sends a model request to the first entry host and reads its stream to the end.
    ///
    /// If the connection breaks, the client resumes the stream at the next entry host.
    pub async fn generate(&self, entries: &[SocketAddr], request: &StreamRequest) -> StreamReport {
        let mut progress = StreamProgress::new();
        let mut next_entry = 0;
        loop {
            let entry = entries[next_entry % entries.len()];
            let result = match progress.report.request_id.clone() {
                None => {
                    self.read_stream(start_request(entry, request), &mut progress)
                        .await
                }
                Some(request_id) => {
                    let request = resume_request(entry, &request_id, &progress.last_event_id);
                    self.read_stream(request, &mut progress).await
                }
            };
            match result {
                Ok(outcome) => return progress.into_report(outcome),
                Err(detail) if progress.report.request_id.is_none() => {
                    return progress.into_report(StreamOutcome::Lost { detail });
                }
                Err(detail) if progress.report.resumes >= MAX_RESUMES => {
                    return progress.into_report(StreamOutcome::Lost { detail });
                }
                Err(_detail) => progress.report.resumes += 1,
            }
            next_entry += 1;
            sleep(RESUME_DELAY).await;
        }
    }

    /// Calls a plain service through an entry host.
    ///
    /// A given idempotency `key` must not have been sent before: the call is marked as the first
    /// with its key.
    pub async fn call_plain(
        &self,
        entry: SocketAddr,
        organisation: &str,
        service: &str,
        key: Option<&str>,
        body: impl Into<Bytes>,
    ) -> PlainReport {
        let path = format!("/v1/services/{service}/call/book");
        let mut request = HttpRequest::post(entry, path, body)
            .header("x-organisation", organisation)
            .head_timeout(HEAD_TIMEOUT);
        if let Some(key) = key {
            request = request
                .header("idempotency-key", key)
                .header("x-idempotent-first", "true");
        }
        match self.http.call(request).await {
            Ok(response) => plain_report(response),
            Err(error) => PlainReport::Lost {
                detail: error.detail,
            },
        }
    }

    async fn read_stream(
        &self,
        request: HttpRequest,
        progress: &mut StreamProgress,
    ) -> Result<StreamOutcome, String> {
        let response = self
            .http
            .send_streaming(request)
            .await
            .map_err(|error| error.detail)?;
        let (parts, body) = response.into_parts();
        let request_id = parts
            .headers
            .get("x-request-id")
            .and_then(|id| id.to_str().ok());
        if let Some(request_id) = request_id {
            progress.report.request_id = Some(request_id.to_owned());
        }
        if !parts.status.is_success() {
            let body = body
                .collect()
                .await
                .map_err(|error| error.to_string())?
                .to_bytes();
            let refusal = from_json::<ErrorBody>(&body).map_err(|error| error.to_string())?;
            return Ok(StreamOutcome::Refused(refusal));
        }
        let mut events = body
            .into_data_stream()
            .map(|chunk| chunk.map_err(io::Error::other));
        let mut events = (&mut events).eventsource();
        loop {
            let event = timeout(EVENT_TIMEOUT, events.next()).await;
            let event = event.map_err(|_elapsed| "no event within the timeout".to_owned())?;
            let event = event.ok_or_else(|| "the stream ended without an end event".to_owned())?;
            let event = event.map_err(|error| error.to_string())?;
            if let Some(outcome) = progress.apply(&event)? {
                return Ok(outcome);
            }
        }
    }
}

fn start_request(entry: SocketAddr, request: &StreamRequest) -> HttpRequest {
    let body = GenerateBody {
        prompt: request.prompt.clone(),
        max_tokens: request.max_tokens,
        stream: Some(true),
        adapter: None,
    };
    let path = format!("/v1/services/{}/generate", request.service);
    HttpRequest::post(entry, path, to_json(&body).unwrap_or_default())
        .header("x-organisation", request.organisation.as_str())
        .header("content-type", "application/json")
        .head_timeout(HEAD_TIMEOUT)
}

fn resume_request(entry: SocketAddr, request_id: &str, last_event_id: &str) -> HttpRequest {
    let request =
        HttpRequest::get(entry, format!("/v1/requests/{request_id}")).head_timeout(HEAD_TIMEOUT);
    if last_event_id.is_empty() {
        return request;
    }
    request.header("last-event-id", last_event_id)
}

fn plain_report(response: HttpResponse) -> PlainReport {
    let refusal = from_json::<ErrorBody>(&response.body).ok();
    match refusal {
        Some(refusal) if !response.is_success() => PlainReport::Refused(refusal),
        _ => PlainReport::Responded {
            status: response.status,
            body: response.body,
        },
    }
}

#[derive(Debug)]
struct StreamProgress {
    report: StreamReport,
    started_at: Instant,
    last_token_at: Option<Instant>,
    /// Id of the event of the last token; empty before the first token.
    last_event_id: String,
}

impl StreamProgress {
    fn new() -> Self {
        let report = StreamReport {
            request_id: None,
            tokens: Vec::new(),
            time_to_first_token: None,
            streaming_time: Duration::ZERO,
            longest_gap: Duration::ZERO,
            resumes: 0,
            outcome: StreamOutcome::Lost {
                detail: String::new(),
            },
        };
        Self {
            report,
            started_at: Instant::now(),
            last_token_at: None,
            last_event_id: String::new(),
        }
    }

    /// Applies an event and returns the outcome if the event ends the stream.
    ///
    /// A token with an unexpected index is an error, so that the caller reconnects.
    fn apply(&mut self, event: &Event) -> Result<Option<StreamOutcome>, String> {
        let data = event.data.as_bytes();
        match event.event.as_str() {
            "token" => {
                let token = from_json::<TokenEvent>(data).map_err(|error| error.to_string())?;
                if token.index as usize != self.report.tokens.len() {
                    return Err(format!("token {} is out of order", token.index));
                }
                self.record_token(token.text);
                self.last_event_id.clone_from(&event.id);
                Ok(None)
            }
            "end" => {
                let end = from_json::<EndEvent>(data).map_err(|error| error.to_string())?;
                Ok(Some(StreamOutcome::Complete(end)))
            }
            "error" => {
                let refusal = from_json::<ErrorBody>(data).map_err(|error| error.to_string())?;
                Ok(Some(StreamOutcome::Refused(refusal)))
            }
            _ => Ok(None),
        }
    }

    fn record_token(&mut self, text: String) {
        let now = Instant::now();
        match self.last_token_at {
            Some(last_token_at) => {
                self.report.longest_gap = self.report.longest_gap.max(now - last_token_at);
                self.report.streaming_time += now - last_token_at;
            }
            None => self.report.time_to_first_token = Some(now - self.started_at),
        }
        self.last_token_at = Some(now);
        self.report.tokens.push(text);
    }

    fn into_report(mut self, outcome: StreamOutcome) -> StreamReport {
        self.report.outcome = outcome;
        self.report
    }
}
