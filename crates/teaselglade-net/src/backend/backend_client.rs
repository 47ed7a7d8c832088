//! Client of model engines and plain servers.

use std::net::SocketAddr;
use std::pin::pin;
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

use tokio::time::timeout;

use super::engine_frames::read_events;
use crate::client::{CallError, HttpClient, HttpRequest, HttpResponse};

const GENERATE_HEAD_TIMEOUT: Duration = Duration::from_secs(2);
/// Time without a response after which pooled connections are taken for dead.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(5);
const NOT_RUN_HEADER: &str = "x-not-run";

/// Client of model engines and plain servers.
///
/// A server marks a request that it refused before running it with the header `x-not-run`.
#[derive(Debug)]
pub struct BackendClient {
    client: Arc<HttpClient>,
}

impl BackendClient {
    /// Creates a client that sends its requests through `client`.
    #[must_use]
    pub const fn new(client: Arc<HttpClient>) -> Self {
        Self { client }
    }

    async fn start_attempt(
        &self,
        server: SocketAddr,
        call: GenerateCall,
    ) -> Result<EngineStream, AttemptError> {
        let message = EngineGenerate {
            request: call.attempt.request.to_string(),
            attempt: call.attempt.number,
            prompt: call.prompt,
            max_tokens: call.max_tokens,
            delivered: call.delivered,
            priority: call.priority,
            adapter: call.adapter,
            kv_handle: call.kv_handle,
        };
        let request = HttpRequest::post(server, "/generate", encode(&message)?);
        let response = self
            .client
            .send_streaming(request.head_timeout(GENERATE_HEAD_TIMEOUT))
            .await?;
        if response.status().is_success() {
            return Ok(EngineStream {
                events: read_events(response.into_body()).boxed(),
            });
        }
        let is_refused = response.headers().contains_key(NOT_RUN_HEADER);
        Err(status_error(is_refused, response.status().as_u16()))
    }

    async fn cancel_attempt(&self, server: SocketAddr, attempt: AttemptId) {
        let message = EngineCancel {
            request: attempt.request.to_string(),
            attempt: attempt.number,
        };
        let Ok(body) = encode(&message) else {
            return;
        };
        // A lost cancellation wastes generated tokens but does not affect correctness.
        let _lost = self
            .client
            .call(HttpRequest::post(server, "/cancel", body))
            .await;
    }

    async fn export_kv(
        &self,
        server: SocketAddr,
        transfer: KvTransfer,
    ) -> Result<String, AttemptError> {
        let message = EngineExport {
            request: transfer.attempt.request.to_string(),
            attempt: transfer.attempt.number,
            target: transfer.target.to_string(),
        };
        let request = HttpRequest::post(server, "/kv/export", encode(&message)?);
        let response = self.client.call(request).await?;
        Ok(decode::<EngineHandle>(&response)?.handle)
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
        let result = self.call_while_awaited(request, call.time_left).await;
        let response = result.map_err(|error| self.handle_plain_failure(error))?;
        if response.header(NOT_RUN_HEADER).is_some() {
            return Err(status_error(true, response.status));
        }
        Ok(PlainAnswer {
            status: response.status,
            headers: response.headers,
            body: response.body,
        })
    }

    /// Sends a call and waits as long as its caller does, and [`SILENCE_TIMEOUT`] at least.
    ///
    /// Other calls use no connection of before once this one was silent for that time: it may be
    /// slow, or its connection may be dead, and others with it.
    async fn call_while_awaited(
        &self,
        request: HttpRequest,
        time_left: Option<Duration>,
    ) -> Result<HttpResponse, CallError> {
        let time_limit = time_left.unwrap_or_default().max(SILENCE_TIMEOUT);
        let mut answer = pin!(self.client.call(request.head_timeout(time_limit)));
        if time_limit > SILENCE_TIMEOUT {
            if let Ok(answer) = timeout(SILENCE_TIMEOUT, &mut answer).await {
                return answer;
            }
            self.client.reset_connections();
        }
        answer.await
    }

    /// Converts a failed call to a plain server.
    ///
    /// If the call may have been sent, drops the pooled connections: others may be dead as well.
    fn handle_plain_failure(&self, error: CallError) -> AttemptError {
        if error.progress == SendProgress::MaybeSent {
            self.client.reset_connections();
        }
        error.into()
    }

    async fn read_report(&self, server: SocketAddr) -> Result<ServerReport, AttemptError> {
        let response = self.client.call(HttpRequest::get(server, "/load")).await?;
        let load = decode::<EngineLoad>(&response)?;
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
        let response = self.client.call(HttpRequest::get(server, path)).await?;
        let events = decode::<CacheEvents>(&response)?;
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
        Box::pin(self.export_kv(server, transfer))
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

fn decode<T: serde::de::DeserializeOwned>(response: &HttpResponse) -> Result<T, AttemptError> {
    if !response.is_success() {
        return Err(status_error(
            response.header(NOT_RUN_HEADER).is_some(),
            response.status,
        ));
    }
    from_json(&response.body)
        .map_err(|error| AttemptError::new(SendProgress::MaybeSent, error.to_string()))
}

fn status_error(is_refused: bool, status: u16) -> AttemptError {
    let progress = if is_refused {
        SendProgress::RefusedBeforeRunning
    } else {
        SendProgress::MaybeSent
    };
    AttemptError::new(progress, format!("status {status}"))
}
