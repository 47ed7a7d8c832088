//! Client of the callers' interface.

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
const RESUME_WAIT: Duration = Duration::from_millis(100);
const MAX_RESUMES: u32 = 20;

/// One model request of a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamQuery {
    /// Organisation of the caller.
    pub organisation: String,
    /// Service to ask.
    pub service: String,
    /// Prompt.
    pub prompt: String,
    /// Most tokens of the answer.
    pub max_tokens: u32,
}

/// Client that reaches entry hosts as the platform's balancer would.
#[derive(Debug, Default)]
pub struct CallerClient {
    caller: HttpClient,
}

impl CallerClient {
    /// Sends a model request to the first entry host and follows its answer to the end.
    ///
    /// Where the connection breaks, the client comes back at the next entry host.
    pub async fn generate(&self, entries: &[SocketAddr], query: &StreamQuery) -> StreamReport {
        let mut progress = StreamProgress::new();
        let mut turn = 0;
        loop {
            let entry = entries[turn % entries.len()];
            let result = match progress.report.request.clone() {
                None => self.follow(start_call(entry, query), &mut progress).await,
                Some(request) => {
                    let call = resume_call(entry, &request, &progress.last_event);
                    self.follow(call, &mut progress).await
                }
            };
            match result {
                Ok(outcome) => return progress.end(outcome),
                Err(detail) if progress.report.request.is_none() => {
                    return progress.end(StreamOutcome::Lost { detail });
                }
                Err(detail) if progress.report.resumes >= MAX_RESUMES => {
                    return progress.end(StreamOutcome::Lost { detail });
                }
                Err(_broken) => progress.report.resumes += 1,
            }
            turn += 1;
            sleep(RESUME_WAIT).await;
        }
    }

    /// Calls a plain server through an entry host, with a key that was never sent before.
    pub async fn call_plain(
        &self,
        entry: SocketAddr,
        organisation: &str,
        service: &str,
        key: Option<&str>,
        body: impl Into<Bytes>,
    ) -> PlainReport {
        let path = format!("/v1/services/{service}/call/book");
        let mut call = HttpRequest::post(entry, path, body)
            .header("x-organisation", organisation)
            .head_timeout(HEAD_TIMEOUT);
        if let Some(key) = key {
            call = call
                .header("idempotency-key", key)
                .header("x-idempotent-first", "true");
        }
        match self.caller.call(call).await {
            Ok(answer) => plain_report(answer),
            Err(error) => PlainReport::Lost {
                detail: error.detail,
            },
        }
    }

    async fn follow(
        &self,
        call: HttpRequest,
        progress: &mut StreamProgress,
    ) -> Result<StreamOutcome, String> {
        let response = self
            .caller
            .send_streaming(call)
            .await
            .map_err(|error| error.detail)?;
        let (parts, body) = response.into_parts();
        let request = parts
            .headers
            .get("x-request-id")
            .and_then(|id| id.to_str().ok());
        if let Some(request) = request {
            progress.report.request = Some(request.to_owned());
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
            let event = event.map_err(|_elapsed| "no event in time".to_owned())?;
            let event = event.ok_or_else(|| "the stream was cut".to_owned())?;
            let event = event.map_err(|error| error.to_string())?;
            if let Some(outcome) = progress.apply(&event)? {
                return Ok(outcome);
            }
        }
    }
}

fn start_call(entry: SocketAddr, query: &StreamQuery) -> HttpRequest {
    let body = GenerateBody {
        prompt: query.prompt.clone(),
        max_tokens: query.max_tokens,
        stream: Some(true),
        adapter: None,
    };
    let path = format!("/v1/services/{}/generate", query.service);
    HttpRequest::post(entry, path, to_json(&body).unwrap_or_default())
        .header("x-organisation", query.organisation.as_str())
        .header("content-type", "application/json")
        .head_timeout(HEAD_TIMEOUT)
}

fn resume_call(entry: SocketAddr, request: &str, last_event: &str) -> HttpRequest {
    let call =
        HttpRequest::get(entry, format!("/v1/requests/{request}")).head_timeout(HEAD_TIMEOUT);
    if last_event.is_empty() {
        return call;
    }
    call.header("last-event-id", last_event)
}

fn plain_report(answer: HttpResponse) -> PlainReport {
    let refusal = from_json::<ErrorBody>(&answer.body).ok();
    match refusal {
        Some(refusal) if !answer.is_success() => PlainReport::Refused(refusal),
        _ => PlainReport::Answered {
            status: answer.status,
            body: answer.body,
        },
    }
}

#[derive(Debug)]
struct StreamProgress {
    report: StreamReport,
    started: Instant,
    last: Option<Instant>,
    /// Id of the last token's event; empty before the first.
    last_event: String,
}

impl StreamProgress {
    fn new() -> Self {
        let report = StreamReport {
            request: None,
            tokens: Vec::new(),
            first_token: None,
            streaming: Duration::ZERO,
            longest_gap: Duration::ZERO,
            resumes: 0,
            outcome: StreamOutcome::Lost {
                detail: String::new(),
            },
        };
        Self {
            report,
            started: Instant::now(),
            last: None,
            last_event: String::new(),
        }
    }

    /// Takes in an event; an unexpected index is kept out and cuts the stream.
    fn apply(&mut self, event: &Event) -> Result<Option<StreamOutcome>, String> {
        let data = event.data.as_bytes();
        match event.event.as_str() {
            "token" => {
                let token = from_json::<TokenEvent>(data).map_err(|error| error.to_string())?;
                if token.index as usize != self.report.tokens.len() {
                    return Err(format!("token {} came out of order", token.index));
                }
                self.note_token(token.text);
                self.last_event.clone_from(&event.id);
                Ok(None)
            }
            "end" => {
                let end = from_json::<EndEvent>(data).map_err(|error| error.to_string())?;
                Ok(Some(StreamOutcome::Whole(end)))
            }
            "error" => {
                let refusal = from_json::<ErrorBody>(data).map_err(|error| error.to_string())?;
                Ok(Some(StreamOutcome::Refused(refusal)))
            }
            _ => Ok(None),
        }
    }

    fn note_token(&mut self, text: String) {
        let now = Instant::now();
        match self.last {
            Some(last) => {
                self.report.longest_gap = self.report.longest_gap.max(now - last);
                self.report.streaming += now - last;
            }
            None => self.report.first_token = Some(now - self.started),
        }
        self.last = Some(now);
        self.report.tokens.push(text);
    }

    fn end(mut self, outcome: StreamOutcome) -> StreamReport {
        self.report.outcome = outcome;
        self.report
    }
}
