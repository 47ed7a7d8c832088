//! Route of calls to plain servers.

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
use super::request_context::{MAX_BODY_BYTES, RequestContext, body_refusal};
use crate::host::EntryHost;
use crate::placement::admit_plain;
use crate::plain::{PlainRequest, run_plain_call};

/// Header that carries the key of a call that may not be repeated.
pub(crate) const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Header by which a caller says that it never sent the key before.
pub(crate) const FIRST_ATTEMPT_HEADER: &str = "x-idempotent-first";

/// Headers that concern one connection only or that the system sets itself.
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

/// Passes a call to a plain server and its answer back.
pub(crate) async fn call_plain(host: Arc<EntryHost>, request: Request) -> Response {
    let id = host.new_request();
    let repeated = may_be_repeated(&request);
    let context = match RequestContext::read(&host, &request, ServiceKind::Plain) {
        Ok(context) => context,
        Err(refusal) => return refusal_response(&unclaimed(refusal, repeated), Some(id)),
    };
    let call = match read_call(AttemptId::first(id), request).await {
        Ok(call) => call,
        Err(refusal) => return refusal_response(&unclaimed(refusal, repeated), Some(id)),
    };
    let organisation = context.organisation;
    // A keyed call may repeat one that ran, which "not run" would deny; it is never refused here.
    let pass = match call.key {
        Some(_) => None,
        None => match admit_plain(&host, &organisation, &context.row.name) {
            Ok(pass) => Some(pass),
            Err(refusal) => return refusal_response(&refusal, Some(id)),
        },
    };
    let order = PlainRequest {
        organisation: organisation.clone(),
        row: context.row,
        call,
        repeated,
        deadline: context.deadline,
    };
    let outcome = run_plain_call(&host, order).await;
    drop(pass);
    match outcome {
        Ok(answer) => {
            host.metrics
                .requests
                .with_label_values(&[organisation.as_str(), "whole"])
                .inc();
            let mut answer = passed_answer(answer);
            set_request_header(&mut answer, id);
            answer
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
/// Only the caller can know that there was none.
fn may_be_repeated(request: &Request) -> bool {
    let is_first = request
        .header::<_, String>(FIRST_ATTEMPT_HEADER)
        .is_some_and(|value| value == "true");
    request.headers().contains_key(IDEMPOTENCY_KEY_HEADER) && !is_first
}

/// Refuses a call before its claim; an earlier call with its key may have run.
///
/// A request that is faulty in itself never ran, whatever became of another one with its key.
fn unclaimed(mut refusal: RequestRefusal, repeated: bool) -> RequestRefusal {
    let is_faulty = matches!(
        refusal.reason,
        RefusalReason::BadRequest
            | RefusalReason::TooLarge
            | RefusalReason::UnknownOrganisation
            | RefusalReason::UnknownService
    );
    if repeated && !is_faulty {
        refusal.verdict = refusal.verdict.and(ExecutionVerdict::MayHaveRun);
    }
    refusal
}

async fn read_call(attempt: AttemptId, request: Request) -> Result<PlainCall, RequestRefusal> {
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
    Ok(PlainCall {
        attempt,
        method,
        path: format!("/{path}{query}"),
        headers,
        body,
        key,
    })
}

fn passed_answer(answer: PlainAnswer) -> Response {
    let mut response = empty_response(answer.status);
    let passed = answer.headers.iter();
    for (name, value) in passed.filter(|(name, _)| !UNFORWARDED_HEADERS.contains(&name.as_str())) {
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
