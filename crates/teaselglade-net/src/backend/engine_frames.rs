//! Decoding of an engine's response lines into events.

use std::io;

use bytes::Bytes;
use futures::{Stream, StreamExt, TryStreamExt};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use teaselglade_core::id::AttemptId;
use teaselglade_core::port::{AttemptError, EngineEvent};
use teaselglade_core::verdict::SendProgress;
use teaselglade_wire::EngineFrame;
use teaselglade_wire::codec::from_json;
use tokio_util::codec::{FramedRead, LinesCodec};
use tokio_util::io::StreamReader;

const MAX_LINE_BYTES: usize = 64 * 1024;

/// Decodes a response body of one JSON object per line into events.
pub(super) fn read_events(
    body: Incoming,
) -> impl Stream<Item = Result<EngineEvent, AttemptError>> + Send + 'static {
    let chunks = body.into_data_stream().map_err(io::Error::other);
    let reader = StreamReader::new(chunks.map_ok(Bytes::from));
    let lines = FramedRead::new(reader, LinesCodec::new_with_max_length(MAX_LINE_BYTES));
    lines.map(|line| {
        let line = line.map_err(|error| stream_error(error.to_string()))?;
        let frame = from_json::<EngineFrame>(line.as_bytes());
        engine_event(frame.map_err(|error| stream_error(error.to_string()))?)
    })
}

fn engine_event(frame: EngineFrame) -> Result<EngineEvent, AttemptError> {
    Ok(match frame {
        EngineFrame::Started {
            request,
            attempt,
            computed_tokens,
            cached_tokens,
        } => {
            let attempt = attempt_id(&request, attempt)?;
            EngineEvent::Started {
                attempt,
                computed_tokens,
                cached_tokens,
            }
        }
        EngineFrame::Token {
            request,
            attempt,
            index,
            text,
        } => EngineEvent::Token {
            attempt: attempt_id(&request, attempt)?,
            index,
            text,
        },
        EngineFrame::End {
            request,
            attempt,
            total,
        } => EngineEvent::End {
            attempt: attempt_id(&request, attempt)?,
            total,
        },
    })
}

fn attempt_id(request: &str, number: u32) -> Result<AttemptId, AttemptError> {
    let request = request
        .parse()
        .map_err(|error| stream_error(format!("{error}")))?;
    Ok(AttemptId { request, number })
}

fn stream_error(detail: String) -> AttemptError {
    AttemptError::new(SendProgress::MaybeSent, detail)
}
