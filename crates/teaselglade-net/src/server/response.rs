//! Answers of the common kinds.

use std::io;

use bytes::Bytes;
use futures::Stream;
use http_body_util::Full;
use serde::Serialize;
use teaselglade_wire::codec::to_json;
use viz::{Body, Response, StatusCode};

/// Makes an answer with a JSON body.
///
/// # Examples
///
/// ```
/// let answer = teaselglade_net::server::json_response(200, &[1, 2]);
/// assert_eq!(answer.status(), 200);
/// ```
#[must_use]
pub fn json_response(status: u16, message: &impl Serialize) -> Response {
    match to_json(message) {
        Ok(body) => with_body(status, "application/json", body),
        Err(error) => text_response(500, error.to_string()),
    }
}

/// Makes an answer with a text body.
#[must_use]
pub fn text_response(status: u16, text: impl Into<String>) -> Response {
    with_body(status, "text/plain; charset=utf-8", text.into())
}

/// Makes an answer without a body.
#[must_use]
pub fn empty_response(status: u16) -> Response {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = status_code(status);
    response
}

/// Makes an answer whose body arrives in pieces; an error cuts the connection.
#[must_use]
pub fn stream_response<S>(status: u16, content_type: &'static str, pieces: S) -> Response
where
    S: Stream<Item = io::Result<Bytes>> + Send + 'static,
{
    let mut response = Response::new(Body::from_stream(pieces));
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
