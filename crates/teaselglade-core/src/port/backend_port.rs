//! Port to backend servers: model engines and plain servers.

use std::fmt::{self, Debug};
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures::stream::BoxStream;
use serde::{Deserialize, Serialize};

use super::{AttemptError, PortFuture};
use crate::id::AttemptId;

/// Request to a model engine to generate a completion or to continue one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GenerateCall {
    /// Attempt id that every event must carry.
    pub attempt: AttemptId,
    /// Prompt of the request.
    pub prompt: String,
    /// Maximum number of tokens in the whole completion.
    pub max_tokens: u32,
    /// Tokens that earlier attempts delivered; the engine continues after them.
    pub delivered: Vec<String>,
    /// Adapter to apply, if the request names one.
    pub adapter: Option<String>,
    /// Priority; requests of higher priority run first.
    pub priority: i32,
    /// Handle of an imported KV cache that covers the prompt and the delivered tokens.
    pub kv_handle: Option<String>,
}

/// Event in the stream of an attempt at an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum EngineEvent {
    /// The engine started the attempt.
    Started {
        /// Attempt that the event belongs to.
        attempt: AttemptId,
        /// Prompt and delivered tokens that were computed, since no cache had them.
        computed_tokens: u32,
        /// Prompt and delivered tokens that were found in a cache.
        cached_tokens: u32,
    },
    /// The engine generated one token.
    Token {
        /// Attempt that the event belongs to.
        attempt: AttemptId,
        /// Position of the token in the whole completion, from 0.
        index: u32,
        /// Text of the token.
        text: String,
    },
    /// The completion ended.
    End {
        /// Attempt that the event belongs to.
        attempt: AttemptId,
        /// Number of tokens in the whole completion.
        total: u32,
    },
}

/// Request to move the KV cache of a running attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvTransfer {
    /// Attempt whose cache is moved.
    pub attempt: AttemptId,
    /// Address to which the exporting engine sends the cache.
    pub target: SocketAddr,
}

/// Boxed stream of the events of one attempt.
pub type EventStream = BoxStream<'static, Result<EngineEvent, AttemptError>>;

/// Event stream of an attempt at an engine.
pub struct EngineStream {
    /// Events of the attempt, in order of arrival.
    pub events: EventStream,
}

impl Debug for EngineStream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("EngineStream").finish_non_exhaustive()
    }
}

/// Call to a plain server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlainCall {
    /// Attempt that dispatches the call.
    pub attempt: AttemptId,
    /// HTTP method.
    pub method: String,
    /// Path and query, starting with `/`.
    pub path: String,
    /// Headers to forward.
    pub headers: Vec<(String, String)>,
    /// Body of the request.
    pub body: Bytes,
    /// Idempotency key of a call that must not run twice.
    pub key: Option<String>,
    /// Time for which its caller waits, if it is longer than a call takes at least.
    pub time_left: Option<Duration>,
}

/// Response of a plain server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlainAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers to forward.
    pub headers: Vec<(String, String)>,
    /// Body of the response.
    pub body: Bytes,
}

/// Load report of a backend server, which lags behind the actual load.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServerReport {
    /// Number of running requests.
    pub running: u32,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Tokens generated per second, measured over the last second.
    pub tokens_per_second: f64,
    /// Time between two tokens of a stream, in microseconds.
    pub token_gap_micros: u64,
    /// Prompt tokens that a single prefill computes per second.
    pub prefill_tokens_per_second: f64,
    /// Free fraction of the KV cache, from 0 to 1.
    pub kv_free: f64,
}

/// Change of an engine's prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheChange {
    /// Sequence number of the event; a gap means that events were lost.
    pub sequence: u64,
    /// Whether the prefix was stored; `false` if it was evicted.
    pub stored: bool,
    /// Hash of the prefix.
    pub prefix: u64,
}

/// Page of prefix cache changes, which may be delayed and have gaps.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheChanges {
    /// Sequence number from which to read next.
    pub next: u64,
    /// Changes, in order of their sequence numbers.
    pub changes: Vec<CacheChange>,
}

/// Client of backend servers.
pub trait BackendPort: Debug + Send + Sync {
    /// Starts an attempt and returns its event stream.
    fn generate(
        &self,
        server: SocketAddr,
        call: GenerateCall,
    ) -> PortFuture<'_, Result<EngineStream, AttemptError>>;

    /// Cancels an attempt; an unknown attempt is not an error.
    fn cancel(&self, server: SocketAddr, attempt: AttemptId) -> PortFuture<'_, ()>;

    /// Moves the KV cache of an attempt and returns its handle at the target.
    fn move_kv(
        &self,
        server: SocketAddr,
        transfer: KvTransfer,
    ) -> PortFuture<'_, Result<String, AttemptError>>;

    /// Calls a plain server.
    fn call(
        &self,
        server: SocketAddr,
        call: PlainCall,
    ) -> PortFuture<'_, Result<PlainAnswer, AttemptError>>;

    /// Reads the load report of a server.
    fn report(&self, server: SocketAddr) -> PortFuture<'_, Result<ServerReport, AttemptError>>;

    /// Reads the prefix cache changes of an engine from sequence number `from` on.
    fn cache_changes(
        &self,
        server: SocketAddr,
        from: u64,
    ) -> PortFuture<'_, Result<CacheChanges, AttemptError>>;
}
