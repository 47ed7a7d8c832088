//! Error responses, which carry a verdict instead of a result.

use teaselglade_core::id::RequestId;
use teaselglade_core::verdict::{ExecutionVerdict, RequestRefusal};
use teaselglade_net::server::json_response;
use teaselglade_wire::{ErrorBody, Verdict};
use viz::Response;
use viz::header::{HeaderValue, RETRY_AFTER};

const MILLIS_PER_SECOND: u64 = 1_000;

/// Creates the response to a refused request.
pub(crate) fn refusal_response(refusal: &RequestRefusal, request: Option<RequestId>) -> Response {
    let body = error_body(refusal, request);
    let mut response = json_response(refusal.reason.status(), &body);
    if let Some(millis) = body.retry_after_ms {
        let seconds = millis.div_ceil(MILLIS_PER_SECOND);
        response
            .headers_mut()
            .insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    if let Some(request) = request {
        set_request_header(&mut response, request);
    }
    response
}

/// Creates the error body with the verdict and the reason.
pub(crate) fn error_body(refusal: &RequestRefusal, request: Option<RequestId>) -> ErrorBody {
    ErrorBody {
        verdict: match refusal.verdict {
            ExecutionVerdict::NotRun => Verdict::NotRun,
            ExecutionVerdict::MayHaveRun => Verdict::MayHaveRun,
            ExecutionVerdict::Ran => Verdict::Ran,
        },
        reason: reason_name(refusal),
        detail: refusal.to_string(),
        retry_after_ms: refusal.retry_after.map(|delay| delay.as_millis() as u64),
        request: request.map(|request| request.to_string()),
    }
}

/// Sets the request id in a response's headers.
pub(crate) fn set_request_header(response: &mut Response, request: RequestId) {
    if let Ok(value) = HeaderValue::from_str(&request.to_string()) {
        response.headers_mut().insert("x-request-id", value);
    }
}

fn reason_name(refusal: &RequestRefusal) -> String {
    let name = serde_json::to_value(refusal.reason).ok();
    name.and_then(|name| name.as_str().map(str::to_owned))
        .unwrap_or_default()
}
