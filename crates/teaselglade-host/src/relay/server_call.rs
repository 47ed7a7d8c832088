//! Sends a request to one server and validates the head of its response.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{HOST, HeaderMap, HeaderValue};
use hyper::{Request, Response, StatusCode, Uri};
use teaselglade_core::id::ServerKey;
use teaselglade_core::verdict::SendProgress;
use teaselglade_routing::attempt::AttemptOutcome;
use tokio::time::timeout;

use super::call_context::CallContext;
use super::pending_response::PendingResponse;
use crate::permit::SendPermit;
use crate::port::{ForwardedHead, ResponseHead};
use crate::upstream::{ConnectionPool, LeasedConnection};

/// Maximum size of a rejection's body that is read to keep its connection.
const MAX_REJECTION_BYTES: usize = 64 * 1024;
/// Maximum time to read a rejection's body.
const MAX_REJECTION_TIME: Duration = Duration::from_secs(1);
/// Assumed number of hosts that share a server's connections while no peer is known.
const INITIAL_HOST_COUNT: u32 = 8;

/// Validated head of a server's response, with its unread body.
#[derive(Debug)]
pub(super) struct ServerResponse {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) body: Incoming,
    pub(super) head: ResponseHead,
    pub(super) connection: LeasedConnection,
}

/// Failure of an attempt that gave no response to forward.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct FailedCall {
    pub(super) outcome: AttemptOutcome,
    pub(super) detail: String,
}

impl FailedCall {
    pub(super) fn new(outcome: AttemptOutcome, detail: impl Into<String>) -> Self {
        Self {
            outcome,
            detail: detail.into(),
        }
    }
}

/// Returns the failure of an attempt whose server refused it without stating that it did not run.
///
/// The response itself is not forwarded, as callers take its status for that statement.
pub(super) fn unstated_refusal(status: StatusCode) -> FailedCall {
    let status = status.as_u16();
    let detail = format!("answered {status} without stating that the request did not run");
    FailedCall::new(AttemptOutcome::Failed, detail)
}

/// Terms on which an attempt is sent.
#[derive(Debug, Default)]
pub(super) struct SendTerms {
    /// Id of the last event that the caller has, if the attempt goes on with a stream.
    pub(super) resume_after: Option<u64>,
    /// Permit to send to the server, if it is limited.
    pub(super) permit: Option<SendPermit>,
    /// Whether the attempt may be sent although its request is quarantined.
    pub(super) is_exempt: bool,
}

/// Sends the request to a server and waits for the head of its response.
///
/// If a pooled connection was closed before anything was sent, sends once more on a new one.
///
/// # Errors
///
/// Fails if the server is unreachable or rejects the request, the request became quarantined, the
/// connection breaks, the response is invalid, or no head arrives before the deadline. A permit is
/// given back if nothing was sent.
pub(super) async fn call_server(
    context: &CallContext,
    server: ServerKey,
    mut terms: SendTerms,
) -> Result<ServerResponse, FailedCall> {
    let sent = send_request(context, server, &mut terms, false);
    match timeout(context.time_left(), sent).await {
        Ok(Err(failed)) if failed.is_stale_connection => {
            let resent = send_request(context, server, &mut terms, true);
            match timeout(context.time_left(), resent).await {
                Ok(sent) => sent.map_err(|failed| failed.call),
                Err(_elapsed) => Err(deadline_failure()),
            }
        }
        Ok(sent) => sent.map_err(|failed| failed.call),
        Err(_elapsed) => Err(deadline_failure()),
    }
}

/// Returns the failure of an attempt without a response before the deadline.
fn deadline_failure() -> FailedCall {
    FailedCall::new(AttemptOutcome::TimedOut, "no answer before the deadline")
}

/// Failure to send a request on one connection.
struct FailedSend {
    call: FailedCall,
    /// Whether a pooled connection was found closed before anything was sent.
    is_stale_connection: bool,
}

/// Sends the request on one connection and validates the response.
async fn send_request(
    context: &CallContext,
    server: ServerKey,
    terms: &mut SendTerms,
    fresh_only: bool,
) -> Result<ServerResponse, FailedSend> {
    let host = &context.host;
    let (server_id, address, hosts) = {
        let decisions = host.lock_decisions();
        let registration = &decisions.registry.server(server).registration;
        let peers = decisions.membership.peer_count() as u32;
        let hosts = if peers == 0 {
            INITIAL_HOST_COUNT
        } else {
            peers + 1
        };
        (registration.id.clone(), registration.address, hosts)
    };
    let max_connections = ConnectionPool::max_per_host(context.service.max_connections, hosts);
    let unreachable = |detail: String| FailedSend {
        call: FailedCall::new(AttemptOutcome::Unreachable, detail),
        is_stale_connection: false,
    };
    let leased = host
        .pool
        .lease(server, address, max_connections, fresh_only)
        .await;
    let connection = leased.map_err(|error| unreachable(error.detail))?;
    let is_reused = connection.is_reused;
    if !is_reused {
        host.metrics.connections.inc();
    }
    if !terms.is_exempt && is_quarantined(context) {
        let detail = "its content became quarantined";
        return Err(FailedSend {
            call: FailedCall::new(AttemptOutcome::Withheld, detail),
            is_stale_connection: false,
        });
    }
    let request = outgoing_request(context, &server_id, terms.resume_after);
    let mut pending = PendingResponse::new(context, server, connection);
    set_used(&mut terms.permit, true);
    let response = pending.send(request).await.map_err(|error| {
        let is_unsent = error.progress == SendProgress::NotSent;
        set_used(&mut terms.permit, !is_unsent);
        let outcome = if is_unsent {
            AttemptOutcome::Unreachable
        } else {
            AttemptOutcome::Broken
        };
        FailedSend {
            is_stale_connection: is_unsent && is_reused,
            call: FailedCall::new(outcome, error.detail),
        }
    })?;
    let validated = validate_response(pending, response);
    validated.map_err(|call| FailedSend {
        call,
        is_stale_connection: false,
    })
}

/// Returns whether a subject of the request is quarantined by now.
///
/// The verdict may fall while the attempt waits for a permit or a connection.
fn is_quarantined(context: &CallContext) -> bool {
    let decisions = context.host.lock_decisions();
    let ledger = &decisions.crash_ledger;
    ledger.is_quarantined(context.organisation_name(), context.subjects())
}

fn set_used(permit: &mut Option<SendPermit>, is_used: bool) {
    if let Some(permit) = permit {
        permit.set_used(is_used);
    }
}

/// Builds the request to a server from the caller's request.
fn outgoing_request(
    context: &CallContext,
    server: &str,
    resume_after: Option<u64>,
) -> Request<Full<Bytes>> {
    let mut headers = context.headers.clone();
    let head = ForwardedHead {
        remaining_time: context.time_left(),
        server,
        organisation: context.organisation.as_deref(),
        resume_after: resume_after.or(context.resume_after),
    };
    context
        .host
        .ports
        .messages
        .write_request(&mut headers, &head);
    if !headers.contains_key(HOST) {
        headers.insert(HOST, HeaderValue::from_static(""));
    }
    let mut request = Request::new(Full::new(context.body.clone()));
    *request.method_mut() = context.method.clone();
    *request.uri_mut() = Uri::from(context.request_target.clone());
    *request.headers_mut() = headers;
    request
}

/// Checks that a response belongs to this request and that the server ran the request.
///
/// # Errors
///
/// Fails if the response does not name the attempt, comes from another server at the same address,
/// says that the request did not run, or reports success without a server stamp.
fn validate_response(
    pending: PendingResponse<'_>,
    response: Response<Incoming>,
) -> Result<ServerResponse, FailedCall> {
    let (context, server, sent_at) = (pending.context, pending.server, pending.sent_at);
    let (parts, body) = response.into_parts();
    let head = context
        .host
        .ports
        .messages
        .read_response(parts.status, &parts.headers);
    let broken = |detail: String| Err(FailedCall::new(AttemptOutcome::Broken, detail));
    // Any other response may be an earlier one that the server wrote once more, also a refusal.
    if head.attempt.as_deref() != Some(context.id.as_str()) {
        drop(body);
        pending.read_behind_unmatched();
        return broken(match head.attempt {
            Some(attempt) => format!("answer to {attempt}"),
            None => format!("{} without an attempt id", parts.status.as_u16()),
        });
    }
    let Some(connection) = pending.accept() else {
        return broken("the connection is closed".to_owned());
    };
    if parts.status == StatusCode::MISDIRECTED_REQUEST {
        let detail = "another server has the address";
        return Err(FailedCall::new(AttemptOutcome::Misdirected, detail));
    }
    context.host.apply_advice(server, sent_at, head.advice);
    if let Some(pace) = head.load.and_then(|load| load.pace) {
        let now = context.host.now();
        context.host.lock_decisions().record_pace(now, server, pace);
    }
    context
        .host
        .report_unknown_headers(server, &head.unknown_headers);
    if head.not_run {
        // The body is a few bytes; once they are read, the connection can be reused.
        let detail = format!("rejected with {}", parts.status.as_u16());
        reuse_after_body(body, connection, parts.headers);
        return Err(FailedCall::new(AttemptOutcome::Rejected, detail));
    }
    if parts.status.is_success() && !head.has_server_stamp {
        return broken("success without a receipt".to_owned());
    }
    Ok(ServerResponse {
        status: parts.status,
        headers: parts.headers,
        body,
        head,
        connection,
    })
}

/// Reads the short body of a rejection to its end and returns the connection to the pool.
///
/// A body beyond the limits closes the connection.
pub(super) fn reuse_after_body(body: Incoming, connection: LeasedConnection, headers: HeaderMap) {
    tokio::spawn(async move {
        let rest = Limited::new(body, MAX_REJECTION_BYTES).collect();
        if matches!(timeout(MAX_REJECTION_TIME, rest).await, Ok(Ok(_body))) {
            connection.return_to_pool(&headers);
        }
    });
}
