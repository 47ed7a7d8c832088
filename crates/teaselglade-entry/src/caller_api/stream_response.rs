//! Responses to model requests.

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

/// Creates a response of server-sent events, from the token at index `from`.
///
/// A request that is refused before its first token gets a plain error response.
pub(crate) async fn event_response(reader: StreamReader, from: usize) -> Response {
    let request = reader.buffer.request;
    let first_step = reader.buffer.wait_for_step(from).await;
    if let StreamStep::Refused(refusal) = &first_step
        && from == 0
    {
        return refusal_response(refusal, Some(request));
    }
    let reader = Arc::new(reader);
    let events = stream::unfold(Some(from), move |next_index| {
        let reader = Arc::clone(&reader);
        async move {
            let index = next_index?;
            let step = reader.buffer.wait_for_step(index).await;
            let is_last = !matches!(step, StreamStep::Token(_));
            let event = step_event(&reader.buffer, index, step)?;
            Some((event, (!is_last).then_some(index + 1)))
        }
    });
    let mut response = Sse::new(events).into_response();
    set_request_header(&mut response, request);
    response
}

/// Waits for the complete response and returns it as one JSON body.
pub(crate) async fn complete_response(buffer: &StreamBuffer) -> Response {
    let mut text = String::new();
    let mut index = 0;
    loop {
        match buffer.wait_for_step(index).await {
            StreamStep::Token(token) => text.push_str(&token),
            StreamStep::End(end) => {
                let body = GenerateAnswer {
                    request: buffer.request.to_string(),
                    text,
                    tokens: end.tokens,
                    recomputed_tokens: end.recomputed_tokens,
                };
                let mut response = json_response(200, &body);
                set_request_header(&mut response, buffer.request);
                return response;
            }
            StreamStep::Refused(refusal) => {
                return refusal_response(&refusal, Some(buffer.request));
            }
            StreamStep::Closed => {
                return refusal_response(&closed_refusal(), Some(buffer.request));
            }
        }
        index += 1;
    }
}

/// Creates the event of a step; a closed stream ends without one.
fn step_event(buffer: &StreamBuffer, index: usize, step: StreamStep) -> Option<Event> {
    Some(match step {
        StreamStep::Token(text) => {
            let body = TokenEvent {
                index: index as u32,
                text,
            };
            let id = format!("{}/{}/{index}", buffer.request, buffer.copy_id);
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
            let body = error_body(&refusal, Some(buffer.request));
            Event::default().event("error").data(json_text(&body))
        }
        StreamStep::Closed => return None,
    })
}

fn closed_refusal() -> RequestRefusal {
    let detail = "this host stops; ask for the rest of the answer elsewhere";
    let verdict = ExecutionVerdict::MayHaveRun;
    RequestRefusal::with_verdict(verdict, RefusalReason::NotReady, detail)
        .retry_after(Duration::from_millis(100))
}

fn json_text(body: &impl Serialize) -> String {
    let json = to_json(body).unwrap_or_default();
    String::from_utf8_lossy(&json).into_owned()
}
