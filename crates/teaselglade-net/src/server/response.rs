//! Constructors of responses with JSON, text, empty and streamed bodies.

use std::io;

use bytes::Bytes;
use futures::Stream;
use http_body_util::Full;
use serde::Serialize;
use teaselglade_wire::codec::to_json;
use viz::{Body, Response, StatusCode};

/// Creates a response with a JSON body.
///
/// A message that cannot be encoded becomes a text response with status 500.
///
/// # Examples
///
/// ```
/// let response = teaselglade_net::server::json_response(200, &[1, 2]);
/// assert_eq!(response.status(), 200);
/// ```
#[must_use]
pub fn json_response(status: u16, message: &impl Serialize) -> Response {
    match to_json(message) {
        Ok(body) => with_body(status, "application/json", body),
        Err(error) => text_response(500, error.to_string()),
    }
}

/// Creates a response with a text body.
#[must_use]
pub fn text_response(status: u16, text: impl Into<String>) -> Response {
    with_body(status, "text/plain; charset=utf-8", text.into())
}

/// Creates a response without a body.
#[must_use]
pub fn empty_response(status: u16) -> Response {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = status_code(status);
    response
}

/// Creates a response with a streamed body; an error breaks the connection off.
#[must_use]
pub fn stream_response<S>(status: u16, content_type: &'static str, chunks: S) -> Response
where
    S: Stream<Item = io::Result<Bytes>> + Send + 'static,
{
    let mut response = Response::new(Body::from_stream(chunks));
    *response.status_mut() = status_code(status);
    let value = viz::header::HeaderValue::from_static(content_type);
    response
        .headers_mut()
        .insert(viz::header::CONTENT_TYPE, value);
    response
}

fn with_body(status: u16, content_type: &'static str, body: impl Into<Bytes>) -> Response {
    let mut response = Response::new(Body::wrap(Full::new(body.into())));
    *response.status_mut() = status_code(status);
    let value = viz::header::HeaderValue::from_static(content_type);
    response
        .headers_mut()
        .insert(viz::header::CONTENT_TYPE, value);
    response
}

fn status_code(status: u16) -> StatusCode {
    StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
}
