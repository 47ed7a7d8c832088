//! Answers of this host's own.

use std::time::Duration;

use bytes::Bytes;
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde::Serialize;
use teaselglade_core::verdict::{ExecutionVerdict, RefusalReason, RequestRefusal};

use super::CallerResponse;
use super::response_body::whole_body;
use crate::journal::RequestLine;
use crate::state::HostState;

#[derive(Debug, Serialize)]
struct RefusalBody<'a> {
    reason: RefusalReason,
    verdict: ExecutionVerdict,
    detail: &'a str,
}

/// Logs a refusal and makes its answer.
pub(super) fn refuse(
    host: &HostState,
    line: &RequestLine<'_>,
    refusal: &RequestRefusal,
) -> CallerResponse {
    let status = status_of(refusal);
    host.log.refused(host.now(), line, status.as_u16(), refusal);
    let reason = serde_json::to_value(refusal.reason).unwrap_or_default();
    let reason = reason.as_str().unwrap_or("unknown");
    host.metrics.refusals.with_label_values(&[reason]).inc();
    let body = RefusalBody {
        reason: refusal.reason,
        verdict: refusal.verdict,
        detail: &refusal.detail,
    };
    // The body is for a person; the status alone says what holds.
    let body = serde_json::to_vec(&body).unwrap_or_default();
    let mut answer = Response::new(whole_body(Bytes::from(body)));
    *answer.status_mut() = status;
    let headers = answer.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(span) = refusal.retry_after.and_then(seconds_value) {
        headers.insert(RETRY_AFTER, span);
    }
    answer
}

/// Tells the caller that its connection closes after the answer.
pub(super) fn close_after(answer: &mut CallerResponse) {
    let headers = answer.headers_mut();
    headers.insert(CONNECTION, HeaderValue::from_static("close"));
}

/// Returns the status of a refusal; 429 and 503 promise that the request did not run.
fn status_of(refusal: &RequestRefusal) -> StatusCode {
    let not_run = refusal.verdict == ExecutionVerdict::NotRun;
    match refusal.reason {
        RefusalReason::UnknownOrganisation => StatusCode::UNAUTHORIZED,
        RefusalReason::AttemptFailed | RefusalReason::DeadlineExceeded if not_run => {
            StatusCode::SERVICE_UNAVAILABLE
        }
        reason if !not_run && reason.status() == 503 => StatusCode::BAD_GATEWAY,
        reason => {
            StatusCode::from_u16(reason.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

fn seconds_value(span: Duration) -> Option<HeaderValue> {
    HeaderValue::from_str(&format!("{:.3}", span.as_secs_f64())).ok()
}
