//! Route for calls to plain servers.

use std::sync::Arc;

use bytes::Bytes;
use teaselglade_core::id::AttemptId;
use teaselglade_core::port::{PlainAnswer, PlainCall};
use teaselglade_core::table::ServiceKind;
use teaselglade_core::verdict::{ExecutionVerdict, RefusalReason, RequestRefusal};
use teaselglade_net::server::{empty_response, read_body};
use viz::header::{HeaderName, HeaderValue};
use viz::{Body, Request, RequestExt, Response};

use super::refusal_response::{refusal_response, set_request_header};
use super::request_context::{MAX_BODY_BYTES, RequestContext, body_refusal, check_ready};
use crate::host::EntryHost;
use crate::placement::admit_plain;
use crate::plain::{PlainRequest, run_plain_call};

/// Header with the idempotency key of a call that must run at most once.
pub(crate) const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Header by which a caller states that it never sent the key before.
pub(crate) const FIRST_ATTEMPT_HEADER: &str = "x-idempotent-first";

/// Headers that are not forwarded.
///
/// They apply to one connection only, or the system sets them itself.
const UNFORWARDED_HEADERS: [&str; 11] = [
    "connection",
    "content-length",
    "host",
    "idempotency-key",
    "keep-alive",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "x-idempotent-first",
    "x-request-id",
];

/// Forwards a call to a plain server and returns the server's response.
pub(crate) async fn call_plain(host: Arc<EntryHost>, request: Request) -> Response {
    let id = host.new_request();
    let is_retry = may_be_retry(&request);
    let context = match RequestContext::read(&host, &request, ServiceKind::Plain) {
        Ok(context) => context,
        Err(refusal) => return refusal_response(&refuse_unclaimed(refusal, is_retry), Some(id)),
    };
    let call = match read_call(&host, AttemptId::first(id), request).await {
        Ok(call) => call,
        Err(refusal) => return refusal_response(&refuse_unclaimed(refusal, is_retry), Some(id)),
    };
    let organisation = context.organisation;
    // A keyed call may retry one that ran, so a refusal with "not run" could be wrong. Limits
    // therefore never refuse it here.
    let permit = match call.key {
        Some(_) => None,
        None => match admit_plain(&host, &organisation, &context.row.name) {
            Ok(permit) => Some(permit),
            Err(refusal) => return refusal_response(&refusal, Some(id)),
        },
    };
    let plain_request = PlainRequest {
        organisation: organisation.clone(),
        row: context.row,
        call,
        is_retry,
        deadline: context.deadline,
    };
    let outcome = run_plain_call(&host, plain_request).await;
    drop(permit);
    match outcome {
        Ok(answer) => {
            host.metrics
                .requests
                .with_label_values(&[organisation.as_str(), "whole"])
                .inc();
            let mut response = forward_response(answer);
            set_request_header(&mut response, id);
            response
        }
        Err(refusal) => {
            host.metrics
                .requests
                .with_label_values(&[organisation.as_str(), "refused"])
                .inc();
            refusal_response(&refusal, Some(id))
        }
    }
}

/// Returns whether an earlier call with the same key may have run.
///
/// Only the caller can rule that out.
fn may_be_retry(request: &Request) -> bool {
    let is_first = request
        .header::<_, String>(FIRST_ATTEMPT_HEADER)
        .is_some_and(|value| value == "true");
    request.headers().contains_key(IDEMPOTENCY_KEY_HEADER) && !is_first
}

/// Adjusts the verdict of a refusal that precedes the call's claim.
///
/// An earlier call with the same key may have run, so a retry is refused with "may have run". An
/// invalid request never ran, whatever the outcome of an earlier call with its key.
fn refuse_unclaimed(mut refusal: RequestRefusal, is_retry: bool) -> RequestRefusal {
    let is_invalid = matches!(
        refusal.reason,
        RefusalReason::BadRequest
            | RefusalReason::TooLarge
            | RefusalReason::UnknownOrganisation
            | RefusalReason::UnknownService
    );
    if is_retry && !is_invalid {
        refusal.verdict = refusal.verdict.and(ExecutionVerdict::MayHaveRun);
    }
    refusal
}

async fn read_call(
    host: &EntryHost,
    attempt: AttemptId,
    request: Request,
) -> Result<PlainCall, RequestRefusal> {
    let path = request.param::<String>("path").unwrap_or_default();
    let query = request
        .uri()
        .query()
        .map(|query| format!("?{query}"))
        .unwrap_or_default();
    let key = request.header::<_, String>(IDEMPOTENCY_KEY_HEADER);
    let method = request.method().to_string();
    let text = |value: &HeaderValue| value.to_str().ok().map(str::to_owned);
    let headers = request.headers().iter();
    let headers = headers.filter(|(name, _)| !UNFORWARDED_HEADERS.contains(&name.as_str()));
    let headers = headers.filter_map(|(name, value)| Some((name.to_string(), text(value)?)));
    let headers = headers.collect();
    let body = read_body(request, MAX_BODY_BYTES).await;
    let body = body.map_err(|error| body_refusal(&error))?;
    check_ready(host)?;
    Ok(PlainCall {
        attempt,
        method,
        path: format!("/{path}{query}"),
        headers,
        body,
        key,
        time_left: None,
    })
}

fn forward_response(answer: PlainAnswer) -> Response {
    let mut response = empty_response(answer.status);
    let headers = answer.headers.iter();
    for (name, value) in headers.filter(|(name, _)| !UNFORWARDED_HEADERS.contains(&name.as_str())) {
        let name = HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) {
            response.headers_mut().append(name, value);
        }
    }
    *response.body_mut() = full_body(answer.body);
    response
}

fn full_body(body: Bytes) -> Body {
    Body::wrap(http_body_util::Full::new(body))
}
