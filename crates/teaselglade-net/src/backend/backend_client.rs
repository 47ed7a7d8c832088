//! Client of model engines and plain servers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use hyper::Method;
use serde::Serialize;
use teaselglade_core::id::AttemptId;
use teaselglade_core::port::{
    AttemptError, BackendPort, CacheChange, CacheChanges, EngineStream, GenerateCall, KvTransfer,
    PlainAnswer, PlainCall, PortFuture, ServerReport,
};
use teaselglade_core::verdict::SendProgress;
use teaselglade_wire::codec::{from_json, to_json};
use teaselglade_wire::{
    CacheChange as WireChange, CacheEvents, EngineCancel, EngineExport, EngineGenerate,
    EngineHandle, EngineLoad,
};

use super::engine_frames::read_events;
use crate::client::{CallError, HttpClient, HttpRequest, HttpResponse};

const HEAD_TIMEOUT: Duration = Duration::from_secs(2);
const PLAIN_TIMEOUT: Duration = Duration::from_secs(5);
const NOT_RUN_HEADER: &str = "x-not-run";

/// Client of model engines and plain servers.
///
/// A server says that it refused a request before running it with the header `x-not-run`.
#[derive(Debug)]
pub struct BackendClient {
    caller: Arc<HttpClient>,
}

impl BackendClient {
    /// Makes a client that calls over the given connections.
    #[must_use]
    pub const fn new(caller: Arc<HttpClient>) -> Self {
        Self { caller }
    }

    async fn start_attempt(
        &self,
        server: SocketAddr,
        call: GenerateCall,
    ) -> Result<EngineStream, AttemptError> {
        let order = EngineGenerate {
            request: call.attempt.request.to_string(),
            attempt: call.attempt.number,
            prompt: call.prompt,
            max_tokens: call.max_tokens,
            delivered: call.delivered,
            priority: call.priority,
            adapter: call.adapter,
            kv_handle: call.kv_handle,
        };
        let call = HttpRequest::post(server, "/generate", encode(&order)?);
        let response = self
            .caller
            .send_streaming(call.head_timeout(HEAD_TIMEOUT))
            .await?;
        if response.status().is_success() {
            return Ok(EngineStream {
                events: read_events(response.into_body()).boxed(),
            });
        }
        let refused = response.headers().contains_key(NOT_RUN_HEADER);
        Err(status_error(refused, response.status().as_u16()))
    }

    async fn cancel_attempt(&self, server: SocketAddr, attempt: AttemptId) {
        let order = EngineCancel {
            request: attempt.request.to_string(),
            attempt: attempt.number,
        };
        let Ok(body) = encode(&order) else {
            return;
        };
        // A cancel that is lost costs tokens, never correctness.
        let _lost = self
            .caller
            .call(HttpRequest::post(server, "/cancel", body))
            .await;
    }

    async fn transfer_kv(
        &self,
        server: SocketAddr,
        transfer: KvTransfer,
    ) -> Result<String, AttemptError> {
        let order = EngineExport {
            request: transfer.attempt.request.to_string(),
            attempt: transfer.attempt.number,
            target: transfer.target.to_string(),
        };
        let call = HttpRequest::post(server, "/kv/export", encode(&order)?);
        let answer = self.caller.call(call).await?;
        Ok(decode::<EngineHandle>(&answer)?.handle)
    }

    async fn call_plain(
        &self,
        server: SocketAddr,
        call: PlainCall,
    ) -> Result<PlainAnswer, AttemptError> {
        let method = Method::from_bytes(call.method.as_bytes());
        let method = method.map_err(|error| {
            AttemptError::new(SendProgress::NotSent, format!("method: {error}"))
        })?;
        let mut request = HttpRequest::new(method, server, call.path).body(call.body);
        for (name, value) in call.headers {
            request = request.header(name, value);
        }
        if let Some(key) = call.key {
            request = request.header("idempotency-key", key);
        }
        let result = self.caller.call(request.head_timeout(PLAIN_TIMEOUT)).await;
        let answer = result.map_err(|error| self.plain_failure(error))?;
        if answer.header(NOT_RUN_HEADER).is_some() {
            return Err(status_error(true, answer.status));
        }
        Ok(PlainAnswer {
            status: answer.status,
            headers: answer.headers,
            body: answer.body,
        })
    }

    /// Gives up the pooled connections, since others may have gone silent as well.
    fn plain_failure(&self, error: CallError) -> AttemptError {
        if error.progress == SendProgress::MaybeSent {
            self.caller.reset_connections();
        }
        error.into()
    }

    async fn read_report(&self, server: SocketAddr) -> Result<ServerReport, AttemptError> {
        let answer = self.caller.call(HttpRequest::get(server, "/load")).await?;
        let load = decode::<EngineLoad>(&answer)?;
        Ok(ServerReport {
            running: load.running,
            waiting: load.waiting,
            tokens_per_second: load.tokens_per_second,
            token_gap_micros: load.token_gap_micros,
            prefill_tokens_per_second: load.prefill_tokens_per_second,
            kv_free: load.kv_free,
        })
    }

    async fn read_cache_changes(
        &self,
        server: SocketAddr,
        from: u64,
    ) -> Result<CacheChanges, AttemptError> {
        let path = format!("/cache-events?from={from}");
        let answer = self.caller.call(HttpRequest::get(server, path)).await?;
        let events = decode::<CacheEvents>(&answer)?;
        let changes = events.events.into_iter().map(|event| CacheChange {
            sequence: event.sequence,
            stored: event.change == WireChange::Stored,
            prefix: event.prefix,
        });
        Ok(CacheChanges {
            next: events.next,
            changes: changes.collect(),
        })
    }
}

impl BackendPort for BackendClient {
    fn generate(
        &self,
        server: SocketAddr,
        call: GenerateCall,
    ) -> PortFuture<'_, Result<EngineStream, AttemptError>> {
        Box::pin(self.start_attempt(server, call))
    }

    fn cancel(&self, server: SocketAddr, attempt: AttemptId) -> PortFuture<'_, ()> {
        Box::pin(self.cancel_attempt(server, attempt))
    }

    fn move_kv(
        &self,
        server: SocketAddr,
        transfer: KvTransfer,
    ) -> PortFuture<'_, Result<String, AttemptError>> {
        Box::pin(self.transfer_kv(server, transfer))
    }

    fn call(
        &self,
        server: SocketAddr,
        call: PlainCall,
    ) -> PortFuture<'_, Result<PlainAnswer, AttemptError>> {
        Box::pin(self.call_plain(server, call))
    }

    fn report(&self, server: SocketAddr) -> PortFuture<'_, Result<ServerReport, AttemptError>> {
        Box::pin(self.read_report(server))
    }

    fn cache_changes(
        &self,
        server: SocketAddr,
        from: u64,
    ) -> PortFuture<'_, Result<CacheChanges, AttemptError>> {
        Box::pin(self.read_cache_changes(server, from))
    }
}

fn encode(message: &impl Serialize) -> Result<bytes::Bytes, AttemptError> {
    to_json(message).map_err(|error| AttemptError::new(SendProgress::NotSent, error.to_string()))
}

fn decode<T: serde::de::DeserializeOwned>(answer: &HttpResponse) -> Result<T, AttemptError> {
    if !answer.is_success() {
        return Err(status_error(
            answer.header(NOT_RUN_HEADER).is_some(),
            answer.status,
        ));
    }
    from_json(&answer.body)
        .map_err(|error| AttemptError::new(SendProgress::MaybeSent, error.to_string()))
}

fn status_error(refused: bool, status: u16) -> AttemptError {
    let progress = if refused {
        SendProgress::RefusedBeforeRunning
    } else {
        SendProgress::MaybeSent
    };
    AttemptError::new(progress, format!("status {status}"))
}
