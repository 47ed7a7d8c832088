//! Answers to model requests.

use std::sync::Arc;
use std::time::Duration;

use futures::stream;
use serde::Serialize;
use teaselglade_core::verdict::{ExecutionVerdict, RefusalReason, RequestRefusal};
use teaselglade_net::server::json_response;
use teaselglade_wire::codec::to_json;
use teaselglade_wire::{EndEvent, GenerateAnswer, TokenEvent};
use viz::types::{Event, Sse};
use viz::{IntoResponse, Response};

use super::refusal_response::{error_body, refusal_response, set_request_header};
use crate::stream::{StreamBuffer, StreamReader, StreamStep};

/// Answers with server-sent events from the token at `from` on.
///
/// A request that is refused before its first token gets the refusal as a plain answer.
pub(crate) async fn event_response(seat: StreamReader, from: usize) -> Response {
    let request = seat.buffer.request;
    let first = seat.buffer.step(from).await;
    if let StreamStep::Refused(refusal) = &first
        && from == 0
    {
        return refusal_response(refusal, Some(request));
    }
    let seat = Arc::new(seat);
    let events = stream::unfold(Some(from), move |place| {
        let seat = Arc::clone(&seat);
        async move {
            let index = place?;
            let step = seat.buffer.step(index).await;
            let is_last = !matches!(step, StreamStep::Token(_));
            let event = step_event(&seat.buffer, index, step)?;
            Some((event, (!is_last).then_some(index + 1)))
        }
    });
    let mut answer = Sse::new(events).into_response();
    set_request_header(&mut answer, request);
    answer
}

/// Waits for the whole answer and returns it as one body.
pub(crate) async fn complete_response(record: &StreamBuffer) -> Response {
    let mut text = String::new();
    let mut index = 0;
    loop {
        match record.step(index).await {
            StreamStep::Token(token) => text.push_str(&token),
            StreamStep::End(end) => {
                let body = GenerateAnswer {
                    request: record.request.to_string(),
                    text,
                    tokens: end.tokens,
                    recomputed_tokens: end.recomputed_tokens,
                };
                let mut answer = json_response(200, &body);
                set_request_header(&mut answer, record.request);
                return answer;
            }
            StreamStep::Refused(refusal) => {
                return refusal_response(&refusal, Some(record.request));
            }
            StreamStep::Cut => {
                return refusal_response(&cut_refusal(), Some(record.request));
            }
        }
        index += 1;
    }
}

/// Makes the event of a step; a cut stream ends without one.
fn step_event(record: &StreamBuffer, index: usize, step: StreamStep) -> Option<Event> {
    Some(match step {
        StreamStep::Token(text) => {
            let body = TokenEvent {
                index: index as u32,
                text,
            };
            let id = format!("{}/{}/{index}", record.request, record.line);
            Event::default()
                .id(id)
                .event("token")
                .data(json_text(&body))
        }
        StreamStep::End(end) => {
            let recomputed_tokens = end.recomputed_tokens;
            let body = EndEvent {
                tokens: end.tokens,
                recomputed_tokens,
            };
            Event::default().event("end").data(json_text(&body))
        }
        StreamStep::Refused(refusal) => {
            let body = error_body(&refusal, Some(record.request));
            Event::default().event("error").data(json_text(&body))
        }
        StreamStep::Cut => return None,
    })
}

fn cut_refusal() -> RequestRefusal {
    let detail = "this host stops; ask for the rest of the answer elsewhere";
    let verdict = ExecutionVerdict::MayHaveRun;
    RequestRefusal::with_verdict(verdict, RefusalReason::NotReady, detail)
        .retry_after(Duration::from_millis(100))
}

fn json_text(body: &impl Serialize) -> String {
    let json = to_json(body).unwrap_or_default();
    String::from_utf8_lossy(&json).into_owned()
}
