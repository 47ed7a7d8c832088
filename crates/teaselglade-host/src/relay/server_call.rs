//! Sends a request to one server and judges the head of the answer.

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{HOST, HeaderMap, HeaderValue};
use hyper::{Request, Response, StatusCode, Uri};
use teaselglade_core::id::ServerKey;
use teaselglade_core::verdict::SendProgress;
use teaselglade_routing::attempt::AttemptOutcome;
use tokio::time::timeout;

use super::call_context::CallContext;
use crate::port::{AnswerHead, OutgoingHead};
use crate::upstream::{ConnectionPool, LeasedConnection};

/// Hosts that share a server's connections until peers are heard.
const FIRST_HOSTS: u32 = 8;

/// Head of a server's answer to this request, with its body to come.
#[derive(Debug)]
pub(super) struct ServerAnswer {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) body: Incoming,
    pub(super) head: AnswerHead,
    pub(super) connection: LeasedConnection,
}

/// Why an attempt brought no answer that can be passed on.
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

/// Sends the request to a server and waits for the head of its answer.
pub(super) async fn call_server(
    context: &CallContext,
    server: ServerKey,
    resume_after: Option<u64>,
) -> Result<ServerAnswer, FailedCall> {
    match timeout(
        context.left(),
        send_once(context, server, resume_after, false),
    )
    .await
    {
        Ok(Err(failed)) if failed.is_stale_connection => {
            let again = send_once(context, server, resume_after, true);
            match timeout(context.left(), again).await {
                Ok(sent) => sent.map_err(|failed| failed.call),
                Err(_elapsed) => Err(silent()),
            }
        }
        Ok(sent) => sent.map_err(|failed| failed.call),
        Err(_elapsed) => Err(silent()),
    }
}

fn silent() -> FailedCall {
    FailedCall::new(AttemptOutcome::TimedOut, "no answer before the deadline")
}

struct FailedSend {
    call: FailedCall,
    /// Whether a kept connection turned out to be closed before anything was sent.
    is_stale_connection: bool,
}

async fn send_once(
    context: &CallContext,
    server: ServerKey,
    resume_after: Option<u64>,
    fresh_only: bool,
) -> Result<ServerAnswer, FailedSend> {
    let host = &context.host;
    let (id, address, hosts) = {
        let decisions = host.decide();
        let sheet = &decisions.fleet.server(server).registration;
        let heard = decisions.roster.peer_count() as u32;
        let hosts = if heard == 0 { FIRST_HOSTS } else { heard + 1 };
        (sheet.id.clone(), sheet.address, hosts)
    };
    let most = ConnectionPool::max_per_host(context.service.max_connections, hosts);
    let unreachable = |detail: String| FailedSend {
        call: FailedCall::new(AttemptOutcome::Unreachable, detail),
        is_stale_connection: false,
    };
    let leased = host.pool.lease(server, address, most, fresh_only).await;
    let mut connection = leased.map_err(|error| unreachable(error.detail))?;
    if !connection.is_reused {
        host.metrics.connections.inc();
    }
    let request = outgoing_request(context, &id, resume_after);
    let sent = connection.send(request).await;
    let response = sent.map_err(|error| {
        let is_unsent = error.progress == SendProgress::NotSent;
        let outcome = if is_unsent {
            AttemptOutcome::Unreachable
        } else {
            AttemptOutcome::Broken
        };
        FailedSend {
            is_stale_connection: is_unsent && connection.is_reused,
            call: FailedCall::new(outcome, error.detail),
        }
    })?;
    judge_answer(context, response, connection).map_err(|call| FailedSend {
        call,
        is_stale_connection: false,
    })
}

fn outgoing_request(
    context: &CallContext,
    server: &str,
    resume_after: Option<u64>,
) -> Request<Full<Bytes>> {
    let mut headers = context.headers.clone();
    let head = OutgoingHead {
        patience: context.left(),
        server,
        organisation: context.organisation.as_deref(),
        resume_after: resume_after.or(context.resume_after),
    };
    context.host.ports.messages.write_call(&mut headers, &head);
    if !headers.contains_key(HOST) {
        headers.insert(HOST, HeaderValue::from_static(""));
    }
    let mut request = Request::new(Full::new(context.body.clone()));
    *request.method_mut() = context.method.clone();
    *request.uri_mut() = Uri::from(context.target.clone());
    *request.headers_mut() = headers;
    request
}

/// Takes an answer only where it belongs to this request and says that the server ran it.
fn judge_answer(
    context: &CallContext,
    response: Response<Incoming>,
    connection: LeasedConnection,
) -> Result<ServerAnswer, FailedCall> {
    let (parts, body) = response.into_parts();
    let head = context.host.ports.messages.read_answer(&parts.headers);
    let broken = |detail: String| Err(FailedCall::new(AttemptOutcome::Broken, detail));
    if head
        .attempt
        .as_deref()
        .is_some_and(|attempt| attempt != context.id)
    {
        return broken(format!("answer to {}", head.attempt.unwrap_or_default()));
    }
    if parts.status == StatusCode::MISDIRECTED_REQUEST {
        let detail = "another server has the address";
        return Err(FailedCall::new(AttemptOutcome::Misdirected, detail));
    }
    if head.not_run {
        // Its body is a few bytes; the connection serves on once they are read.
        let detail = format!("rejected with {}", parts.status.as_u16());
        keep_after_body(body, connection, parts.headers);
        return Err(FailedCall::new(AttemptOutcome::Rejected, detail));
    }
    if head.attempt.is_none() {
        return broken(format!("{} without an attempt id", parts.status.as_u16()));
    }
    if parts.status.is_success() && !head.has_receipt {
        return broken("success without a receipt".to_owned());
    }
    Ok(ServerAnswer {
        status: parts.status,
        headers: parts.headers,
        body,
        head,
        connection,
    })
}

fn keep_after_body(mut body: Incoming, connection: LeasedConnection, headers: HeaderMap) {
    use http_body_util::BodyExt;
    tokio::spawn(async move {
        while let Some(frame) = body.frame().await {
            if frame.is_err() {
                return;
            }
        }
        connection.return_to_pool(&headers);
    });
}
