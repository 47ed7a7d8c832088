//! Takes a caller's request in and checks it against the table.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, HOST, TRANSFER_ENCODING};
use hyper::http::request::Parts;
use hyper::http::uri::PathAndQuery;
use hyper::{HeaderMap, Request};
use teaselglade_core::time::Timestamp;
use teaselglade_core::verdict::{RefusalReason, RequestRefusal};
use teaselglade_routing::table::{Caller, IngressLimits, ResponseKind};
use tokio::time::timeout;

use super::call_context::CallContext;
use super::header_filter::passing_headers;
use super::plain_relay::relay_plain;
use super::refusal_response::{close_after, refuse};
use super::stream_relay::relay_stream;
use super::{CallerResponse, Result};
use crate::journal::RequestLine;
use crate::state::{HostState, TableInForce};

/// Time to come back where this host has no table yet; the store answers within that.
const NOT_READY_RETRY: Duration = Duration::from_millis(300);
/// Longest time for a request's body; callers send it with the head.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// Takes a caller's request in, relays it and returns the answer.
pub async fn serve_call(host: Arc<HostState>, request: Request<Incoming>) -> CallerResponse {
    let arrived = host.now();
    host.metrics.in_progress.inc();
    // Dropped with the caller's connection too, so that the count never drifts.
    let _progress = ProgressGuard(Arc::clone(&host));
    let (parts, body) = request.into_parts();
    let is_framed_twice =
        parts.headers.contains_key(TRANSFER_ENCODING) && parts.headers.contains_key(CONTENT_LENGTH);
    // What follows chunks on the same connection may be a request smuggled behind a length that
    // the HTTP library does not show, so nothing more is read from it.
    let must_close = parts.headers.contains_key(TRANSFER_ENCODING);
    let taken = if is_framed_twice {
        Err(bad_request("both a length and chunks"))
    } else {
        take_in(&host, arrived, &parts, body).await
    };
    let mut answer = match taken {
        Ok(context) => relay(context).await,
        Err(refusal) => {
            let line = RequestLine {
                id: attempt_text(&host, &parts.headers),
                route: parts.uri.path(),
                organisation: "",
                table: host.table_version(),
                elapsed: host.now().since(arrived),
            };
            refuse(&host, &line, &refusal)
        }
    };
    if must_close || host.stopping.is_cancelled() {
        close_after(&mut answer);
    }
    answer
}

struct ProgressGuard(Arc<HostState>);

impl Drop for ProgressGuard {
    fn drop(&mut self) {
        self.0.metrics.in_progress.dec();
    }
}

async fn relay(context: CallContext) -> CallerResponse {
    let context = Arc::new(context);
    let relayed = match context.route.response_kind {
        ResponseKind::Plain => relay_plain(&context).await,
        ResponseKind::Stream => relay_stream(&context).await,
    };
    match relayed {
        Ok(answer) => answer,
        Err(refusal) => {
            context.refund_quota(&refusal);
            let organisation = context.organisation.as_deref().unwrap_or_default();
            let labels = [context.service.name.as_str(), organisation, "refused"];
            context
                .host
                .metrics
                .answers
                .with_label_values(&labels)
                .inc();
            refuse(&context.host, &context.line(), &refusal)
        }
    }
}

async fn take_in(
    host: &Arc<HostState>,
    arrived: Timestamp,
    parts: &Parts,
    body: Incoming,
) -> Result<CallContext> {
    let Some(held) = host.table() else {
        let refusal = RequestRefusal::not_run(RefusalReason::NotReady, "no table is known yet");
        return Err(refusal.retry_after(NOT_READY_RETRY));
    };
    let body = read_body(body, &held.table.spec().limits).await?;
    // A version that came while the body arrived counts.
    let held = host.table().unwrap_or(held);
    judge(host, arrived, parts, body, &held)
}

fn judge(
    host: &Arc<HostState>,
    arrived: Timestamp,
    parts: &Parts,
    body: Bytes,
    held: &TableInForce,
) -> Result<CallContext> {
    let table = &held.table;
    let name = host_name(parts)?;
    let route = table.route(&name, parts.uri.path()).ok_or_else(|| {
        let detail = format!("no route for {name}{}", parts.uri.path());
        RequestRefusal::not_run(RefusalReason::UnknownService, detail)
    })?;
    let messages = &host.ports.messages;
    let call = messages
        .read_call(&parts.headers)
        .map_err(|error| bad_request(error.to_string()))?;
    let caller = table.caller(route, call.key.as_deref()).map_err(|reason| {
        let detail = format!("route {} needs a key that is in force", route.name);
        RequestRefusal::not_run(reason, detail)
    })?;
    let organisation = match caller {
        Caller::Organisation(organisation) => Some(organisation),
        Caller::Anonymous => None,
    };
    let now = host.now();
    let tokens = call
        .prompt
        .as_ref()
        .map(teaselglade_routing::engine::PromptShape::total_tokens);
    let service = route.service(host.draw());
    let service = table.service(service).cloned().ok_or_else(|| {
        let detail = format!("service {service} is not in the table");
        RequestRefusal::not_run(RefusalReason::NoServer, detail).retry_after(NOT_READY_RETRY)
    })?;
    let mut decisions = host.decide();
    if let Some(organisation) = organisation {
        decisions.quotas.admit(now, &organisation.name, tokens)?;
    }
    decisions.record_first(&service.name);
    drop(decisions);
    let patience = call.patience.unwrap_or(route.timeout).min(route.timeout);
    let target = parts.uri.path_and_query().cloned();
    Ok(CallContext {
        id: call.attempt,
        organisation: organisation.map(|organisation| organisation.name.clone()),
        table: table.version(),
        route: route.clone(),
        service,
        prompt: call.prompt,
        resume_after: call.resume_after,
        method: parts.method.clone(),
        target: target.unwrap_or_else(|| PathAndQuery::from_static("/")),
        headers: passing_headers(&parts.headers, messages.as_ref()),
        body,
        arrived,
        due: arrived + patience,
        host: Arc::clone(host),
    })
}

async fn read_body(body: Incoming, limits: &IngressLimits) -> Result<Bytes> {
    let limited = Limited::new(body, limits.body_bytes);
    match timeout(BODY_TIMEOUT, limited.collect()).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            let detail = format!("the body is larger than {} bytes", limits.body_bytes);
            Err(RequestRefusal::not_run(RefusalReason::TooLarge, detail))
        }
        Ok(Err(error)) => Err(bad_request(format!("the body is cut: {error}"))),
        Err(_elapsed) => Err(bad_request("the body did not arrive in time")),
    }
}

/// Returns the host that a request names, in lower case and without a port.
fn host_name(parts: &Parts) -> Result<String> {
    let mut named = parts.headers.get_all(HOST).iter();
    let (Some(name), None) = (named.next(), named.next()) else {
        return Err(bad_request("not exactly one host is named"));
    };
    let name = name
        .to_str()
        .map_err(|error| bad_request(error.to_string()))?;
    let name = name.rsplit_once(':').map_or(name, |(name, _port)| name);
    Ok(name.to_ascii_lowercase())
}

fn attempt_text<'a>(host: &HostState, headers: &'a HeaderMap) -> &'a str {
    let names = headers.iter();
    let mut found = names.filter(|(name, _)| host.ports.messages.names_attempt(name));
    let value = found.next().and_then(|(_, value)| value.to_str().ok());
    value.unwrap_or_default()
}

fn bad_request(detail: impl Into<String>) -> RequestRefusal {
    RequestRefusal::not_run(RefusalReason::BadRequest, detail)
}
