//! Handlers for requests of peers about streams.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;
use teaselglade_core::id::RequestId;
use teaselglade_net::server::{read_body, text_response};
use teaselglade_wire::codec::{from_msgpack, to_msgpack};
use teaselglade_wire::{
    EndEvent, PeerStreamAsk, PeerStreamHolder, PeerStreamPart, PeerStreamRead, PeerStreamRecord,
    PeerStreamReply,
};
use tokio::time::timeout;
use viz::{IntoResponse, Request, Response};

use super::record_codec::decode_record;
use crate::caller_api::error_body;
use crate::host::EntryHost;
use crate::stream::{StreamReader, StreamStep, resume_stream};

const MAX_MESSAGE_BYTES: usize = 8 * 1024 * 1024;
const READ_TIMEOUT: Duration = Duration::from_millis(400);

/// Handles a record that a peer hands over, and starts its stream here.
pub(crate) async fn accept_stream(host: Arc<EntryHost>, request: Request) -> Response {
    let message = match decode::<PeerStreamRecord>(request).await {
        Ok(message) => message,
        Err(response) => return response,
    };
    let accepted = host.is_ready() && accept_record(&host, message);
    encode(&PeerStreamReply { accepted })
}

/// Returns whether this host holds a stream.
pub(crate) async fn query_stream(host: Arc<EntryHost>, request: Request) -> Response {
    let query = match decode::<PeerStreamAsk>(request).await {
        Ok(query) => query,
        Err(response) => return response,
    };
    let request = query.request.parse::<RequestId>().ok();
    let stream = request.and_then(|request| host.streams.find(request));
    encode(&PeerStreamHolder {
        held: stream.is_some(),
        generation: stream.as_ref().map_or(0, |stream| stream.generation),
        line: stream.as_ref().map_or(0, |stream| stream.buffer.copy_id),
    })
}

/// Returns the available tokens of a stream, after a bounded wait for the first.
pub(crate) async fn read_stream(host: Arc<EntryHost>, request: Request) -> Response {
    let read = match decode::<PeerStreamRead>(request).await {
        Ok(read) => read,
        Err(response) => return response,
    };
    let Ok(request) = read.request.parse::<RequestId>() else {
        return text_response(400, "malformed request id");
    };
    let reader = host.streams.attach(request, read.from, read.line).await;
    let part = match reader {
        Some(Ok(reader)) => read_part(&reader, read.from as usize).await,
        Some(Err(refusal)) => PeerStreamPart {
            refused: Some(error_body(&refusal, Some(request))),
            ..empty_part(read.line.unwrap_or_default())
        },
        None => PeerStreamPart {
            gone: true,
            ..empty_part(read.line.unwrap_or_default())
        },
    };
    encode(&part)
}

fn accept_record(host: &Arc<EntryHost>, message: PeerStreamRecord) -> bool {
    let Ok(record) = decode_record(message, host.now()) else {
        return false;
    };
    let held = host.streams.find(record.request.id);
    if held.is_some_and(|held| held.generation >= record.generation) {
        return true;
    }
    let table = host.table();
    let Some(row) = table.rows.service(&record.request.service) else {
        return false;
    };
    resume_stream(host, row.clone(), record);
    true
}

async fn read_part(reader: &StreamReader, from: usize) -> PeerStreamPart {
    let buffer = &reader.buffer;
    let mut part = empty_part(buffer.copy_id);
    let mut index = from;
    let mut step = timeout(READ_TIMEOUT, buffer.wait_for_step(index))
        .await
        .ok();
    while let Some(current) = step {
        match current {
            StreamStep::Token(token) => part.tokens.push(token),
            StreamStep::End(end) => {
                part.end = Some(EndEvent {
                    tokens: end.tokens,
                    recomputed_tokens: end.recomputed_tokens,
                });
                break;
            }
            StreamStep::Refused(refusal) => {
                part.refused = Some(error_body(&refusal, Some(buffer.request)));
                break;
            }
            StreamStep::Closed => {
                part.gone = true;
                break;
            }
        }
        index += 1;
        step = buffer.current_step(index);
    }
    part
}

const fn empty_part(copy_id: u16) -> PeerStreamPart {
    PeerStreamPart {
        tokens: Vec::new(),
        line: copy_id,
        gone: false,
        end: None,
        refused: None,
    }
}

async fn decode<T: DeserializeOwned>(request: Request) -> Result<T, Response> {
    let body = read_body(request, MAX_MESSAGE_BYTES).await;
    let body = body.map_err(|error| text_response(400, error.to_string()))?;
    from_msgpack(&body).map_err(|error| text_response(400, error.to_string()))
}

fn encode(message: &impl Serialize) -> Response {
    match to_msgpack(message) {
        Ok(body) => Bytes::into_response(body),
        Err(error) => text_response(500, error.to_string()),
    }
}
