//! Responses to requests that this host refuses.

use std::time::Duration;

use bytes::Bytes;
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde::Serialize;
use teaselglade_core::verdict::{ExecutionVerdict, RefusalReason, RequestRefusal};

use super::CallerResponse;
use super::response_body::full_body;
use crate::journal::RequestFields;
use crate::state::HostState;

/// JSON body of a refusal.
#[derive(Debug, Serialize)]
struct RefusalBody<'a> {
    reason: RefusalReason,
    verdict: ExecutionVerdict,
    detail: &'a str,
}

/// Logs and counts a refusal and returns the response to the caller.
pub(super) fn refuse(
    host: &HostState,
    fields: &RequestFields<'_>,
    refusal: &RequestRefusal,
) -> CallerResponse {
    let status = status_of(refusal);
    host.log
        .refused(host.now(), fields, status.as_u16(), refusal);
    let reason = serde_json::to_value(refusal.reason).unwrap_or_default();
    let reason = reason.as_str().unwrap_or("unknown");
    host.metrics.refusals.with_label_values(&[reason]).inc();
    let body = RefusalBody {
        reason: refusal.reason,
        verdict: refusal.verdict,
        detail: &refusal.detail,
    };
    // The body is only for human readers; clients act on the status.
    let body = serde_json::to_vec(&body).unwrap_or_default();
    let mut response = Response::new(full_body(Bytes::from(body)));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(delay) = refusal.retry_after.and_then(retry_after_value) {
        headers.insert(RETRY_AFTER, delay);
    }
    response
}

/// Sets `Connection: close`, so that the connection closes after the response.
pub(super) fn close_connection(response: &mut CallerResponse) {
    let headers = response.headers_mut();
    headers.insert(CONNECTION, HeaderValue::from_static("close"));
}

/// Returns whether callers take a status for the promise that the request did not run.
pub(super) const fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Returns the status code of a refusal; none of a request that may have run is a promise.
fn status_of(refusal: &RequestRefusal) -> StatusCode {
    let not_run = refusal.verdict == ExecutionVerdict::NotRun;
    match refusal.reason {
        RefusalReason::UnknownOrganisation => StatusCode::UNAUTHORIZED,
        RefusalReason::AttemptFailed | RefusalReason::DeadlineExceeded if not_run => {
            StatusCode::SERVICE_UNAVAILABLE
        }
        reason => {
            let status = StatusCode::from_u16(reason.status());
            let status = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
            if !not_run && promises_not_run(status) {
                StatusCode::BAD_GATEWAY
            } else {
                status
            }
        }
    }
}

/// Formats a delay as the value of `Retry-After`, in seconds with three decimals.
fn retry_after_value(delay: Duration) -> Option<HeaderValue> {
    HeaderValue::from_str(&format!("{:.3}", delay.as_secs_f64())).ok()
}
