//! Accepts callers' requests: matches the route, authenticates the caller and charges its quota.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, HOST, TRANSFER_ENCODING};
use hyper::http::request::Parts;
use hyper::http::uri::PathAndQuery;
use hyper::{HeaderMap, Method, Request};
use teaselglade_core::verdict::{RefusalReason, RequestRefusal};
use teaselglade_routing::capacity::RequestRank;
use teaselglade_routing::crash::{RequestContent, RequestHash};
use teaselglade_routing::gossip::name_hash;
use teaselglade_routing::table::{Caller, IngressLimits, ResponseKind};
use tokio::time::timeout;

use super::call_context::CallContext;
use super::header_filter::end_to_end_headers;
use super::plain_relay::relay_plain;
use super::refusal_response::{close_connection, refuse};
use super::response_body::hold_open;
use super::stream_relay::relay_stream;
use super::{CallerResponse, Result};
use crate::journal::RequestFields;
use crate::open::{OpenRequest, RequestGuard};
use crate::state::{ActiveTable, HostState};

/// Retry delay while this host has no table, or one that lacks the service of the route.
///
/// The store responds within that time.
const NOT_READY_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Longest time to receive a request's body, which callers send along with the head.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// Accepts a caller's request, relays it and returns the response, or a refusal.
pub async fn serve_call(host: Arc<HostState>, request: Request<Incoming>) -> CallerResponse {
    let (parts, body) = request.into_parts();
    let mut open = RequestGuard::open(&host, attempt_id(&host, &parts.headers));
    // The HTTP library does not read the body of a response to `HEAD`.
    open.is_taken = parts.method == Method::HEAD;
    host.metrics.in_progress.inc();
    // Also dropped when the caller's connection closes, so that the gauge never drifts.
    let _in_progress = InProgressGuard(Arc::clone(&host));
    let has_ambiguous_framing =
        parts.headers.contains_key(TRANSFER_ENCODING) && parts.headers.contains_key(CONTENT_LENGTH);
    // The HTTP library may hide a `Content-Length` beside `Transfer-Encoding`, so that bytes after
    // the chunks may be a smuggled request. Closing the connection keeps it from being read.
    let must_close = parts.headers.contains_key(TRANSFER_ENCODING);
    let accepted = if has_ambiguous_framing {
        Err(bad_request("both a length and chunks"))
    } else {
        accept_call(&host, &open, &parts, body).await
    };
    let mut response = match accepted {
        Ok(context) => relay(context).await,
        Err(refusal) => {
            let fields = RequestFields {
                id: attempt_id(&host, &parts.headers),
                route: parts.uri.path(),
                organisation: "",
                table_version: host.table_version(),
                elapsed: host.now().since(open.arrived_at),
            };
            host.update_request(open.key, |open| open.end("refused"));
            refuse(&host, &fields, &refusal)
        }
    };
    if must_close || host.stopping.is_cancelled() {
        close_connection(&mut response);
    }
    host.update_request(open.key, OpenRequest::start_response);
    response.map(|body| hold_open(body, open))
}

/// Keeps a request in the gauge of requests in progress until it is dropped.
struct InProgressGuard(Arc<HostState>);

impl Drop for InProgressGuard {
    fn drop(&mut self) {
        self.0.metrics.in_progress.dec();
    }
}

/// Relays an accepted request; on a refusal refunds the quota and counts the refusal.
async fn relay(context: CallContext) -> CallerResponse {
    let context = Arc::new(context);
    let result = match context.route.response_kind {
        ResponseKind::Plain => relay_plain(&context).await,
        ResponseKind::Stream => relay_stream(&context).await,
    };
    match result {
        Ok(response) => response,
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
            let host = &context.host;
            host.update_request(context.open_key, |open| open.end("refused"));
            refuse(host, &context.log_fields(), &refusal)
        }
    }
}

/// Reads the body of a request and checks the request against the active table.
///
/// # Errors
///
/// Returns a "not run" refusal if there is no table or the request is not admitted.
async fn accept_call(
    host: &Arc<HostState>,
    open: &RequestGuard,
    parts: &Parts,
    body: Incoming,
) -> Result<CallContext> {
    let Some(active) = host.table() else {
        let refusal = RequestRefusal::not_run(RefusalReason::NotReady, "no table is known yet");
        return Err(refusal.retry_after(NOT_READY_RETRY_DELAY));
    };
    let body = read_body(body, &active.table.spec().limits).await?;
    // Uses the newer version if one became active while the body arrived.
    let active = host.table().unwrap_or(active);
    build_context(host, open, parts, body, &active)
}

/// Matches the route, authenticates the caller, charges its quota and chooses the service.
///
/// # Errors
///
/// Returns a "not run" refusal if any of these fails.
fn build_context(
    host: &Arc<HostState>,
    open: &RequestGuard,
    parts: &Parts,
    body: Bytes,
    active: &ActiveTable,
) -> Result<CallContext> {
    let table = &active.table;
    let name = host_name(parts)?;
    let route = table.route(&name, parts.uri.path()).ok_or_else(|| {
        let detail = format!("no route for {name}{}", parts.uri.path());
        RequestRefusal::not_run(RefusalReason::UnknownService, detail)
    })?;
    let messages = &host.ports.messages;
    let head = messages
        .read_request(&parts.headers)
        .map_err(|error| bad_request(error.to_string()))?;
    let caller = table.caller(route, head.key.as_deref()).map_err(|reason| {
        let detail = format!("route {} needs a key that is in force", route.name);
        RequestRefusal::not_run(reason, detail)
    })?;
    let organisation = match caller {
        Caller::Organisation(organisation) => Some(organisation),
        Caller::Anonymous => None,
    };
    let now = host.now();
    let caller_timeout = head
        .caller_timeout
        .unwrap_or(route.timeout)
        .min(route.timeout);
    let deadline = open.arrived_at + caller_timeout;
    if let Some(plan) = host.shutdown_plan() {
        plan.admit(now, deadline)?;
    }
    let tokens = head
        .prompt
        .as_ref()
        .map(teaselglade_routing::engine::PromptShape::total_tokens);
    let service = route.service(host.next_split_sample());
    let service = table.service(service).cloned().ok_or_else(|| {
        let detail = format!("service {service} is not in the table");
        RequestRefusal::not_run(RefusalReason::NoServer, detail).retry_after(NOT_READY_RETRY_DELAY)
    })?;
    let priority = organisation.and_then(|organisation| organisation.priority);
    let rank = RequestRank::of(priority, route.priority);
    let mut decisions = host.lock_decisions();
    if let Some(organisation) = organisation {
        let quotas = &mut decisions.quotas;
        // Within an organisation, whose priority is the same for all, that of the route decides.
        let route_rank = RequestRank::new(route.priority);
        quotas.admit_ranked(now, &organisation.name, tokens, route_rank)?;
    }
    decisions.record_first_attempt(&service.name);
    drop(decisions);
    host.update_request(open.key, |request| {
        request.admit(&route.name, route.response_kind, deadline);
    });
    let request_target = parts.uri.path_and_query().cloned();
    let request_target = request_target.unwrap_or_else(|| PathAndQuery::from_static("/"));
    let request_hash = RequestHash::of(&RequestContent {
        method: parts.method.as_str(),
        host: &name,
        target: request_target.as_str(),
        organisation: organisation.map_or("", |organisation| &organisation.name),
        body: &body,
        prompt: head.prompt.as_ref(),
    });
    Ok(CallContext {
        id: head.attempt,
        organisation: organisation.map(|organisation| organisation.name.clone()),
        rank,
        zone_choice: std::sync::OnceLock::new(),
        table_version: table.version(),
        route_hash: name_hash(&route.name),
        route: route.clone(),
        service,
        prompt: head.prompt,
        resume_after: head.resume_after,
        method: parts.method.clone(),
        request_hash,
        request_target,
        headers: end_to_end_headers(&parts.headers, messages.as_ref()),
        body,
        arrived_at: open.arrived_at,
        deadline,
        open_key: open.key,
        is_decided: AtomicBool::new(false),
        host: Arc::clone(host),
    })
}

/// Reads a request's body, up to the size limit and the timeout.
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

/// Returns the name in a request's `Host` header, in lower case and without a port.
fn host_name(parts: &Parts) -> Result<String> {
    let mut host_headers = parts.headers.get_all(HOST).iter();
    let (Some(name), None) = (host_headers.next(), host_headers.next()) else {
        return Err(bad_request("not exactly one host is named"));
    };
    let name = name
        .to_str()
        .map_err(|error| bad_request(error.to_string()))?;
    let name = name.rsplit_once(':').map_or(name, |(name, _port)| name);
    Ok(name.to_ascii_lowercase())
}

/// Returns the caller's attempt id from the headers; empty if there is none.
fn attempt_id<'a>(host: &HostState, headers: &'a HeaderMap) -> &'a str {
    let names = headers.iter();
    let mut found = names.filter(|(name, _)| host.ports.messages.is_attempt_header(name));
    let value = found.next().and_then(|(_, value)| value.to_str().ok());
    value.unwrap_or_default()
}

/// Returns the refusal of a malformed request.
fn bad_request(detail: impl Into<String>) -> RequestRefusal {
    RequestRefusal::not_run(RefusalReason::BadRequest, detail)
}
