//! Port to backend servers: model engines and plain servers.

use std::fmt::{self, Debug};
use std::net::SocketAddr;

use bytes::Bytes;
use futures::stream::BoxStream;
use serde::{Deserialize, Serialize};

use super::{AttemptError, PortFuture};
use crate::id::AttemptId;

/// Order to a model engine to generate an answer, or the rest of one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GenerateCall {
    /// Attempt that the frames must carry.
    pub attempt: AttemptId,
    /// Prompt of the request.
    pub prompt: String,
    /// Most tokens of the whole answer.
    pub max_tokens: u32,
    /// Tokens that earlier attempts delivered; the engine goes on behind them.
    pub delivered: Vec<String>,
    /// Adapter to apply, where the request names one.
    pub adapter: Option<String>,
    /// Priority; higher goes first.
    pub priority: i32,
    /// Handle of an imported KV cache that covers prompt and delivered tokens.
    pub kv_handle: Option<String>,
}

/// What an engine's stream brings.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum EngineEvent {
    /// The engine started the attempt.
    Started {
        /// Attempt that the frame belongs to.
        attempt: AttemptId,
        /// Prompt and delivered tokens that had to be computed anew.
        computed_tokens: u32,
        /// Prompt and delivered tokens found in a cache.
        cached_tokens: u32,
    },
    /// One token.
    Token {
        /// Attempt that the frame belongs to.
        attempt: AttemptId,
        /// Position of the token in the whole answer, from 0.
        index: u32,
        /// Text of the token.
        text: String,
    },
    /// End of the answer.
    End {
        /// Attempt that the frame belongs to.
        attempt: AttemptId,
        /// Tokens in the whole answer.
        total: u32,
    },
}

/// Order to move the KV cache of a running attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvTransfer {
    /// Attempt whose cache is moved.
    pub attempt: AttemptId,
    /// Address that the exporting engine sends to.
    pub target: SocketAddr,
}

/// Frames of one attempt as they arrive.
pub type EventStream = BoxStream<'static, Result<EngineEvent, AttemptError>>;

/// Frames of one attempt.
pub struct EngineStream {
    /// The frames, in the order in which they arrive.
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
    /// Path and query, from `/`.
    pub path: String,
    /// Headers that are passed on.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Bytes,
    /// Key of a call that may not be repeated.
    pub key: Option<String>,
}

/// Answer of a plain server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlainAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers that are passed on.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Bytes,
}

/// Load report of a backend server; it lags.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServerReport {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Tokens generated a second, over the last second.
    pub tokens_per_second: f64,
    /// Time between two tokens of one stream, in microseconds.
    pub token_gap_micros: u64,
    /// Prompt tokens computed a second by one prefill.
    pub prefill_tokens_per_second: f64,
    /// Free part of the KV cache, from 0 to 1.
    pub kv_free: f64,
}

/// One change of an engine's prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheChange {
    /// Number of the event; a gap means lost events.
    pub sequence: u64,
    /// Whether the prefix was stored; else it was evicted.
    pub stored: bool,
    /// Hash of the prefix.
    pub prefix: u64,
}

/// Changes of an engine's prefix cache, late and with gaps.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheChanges {
    /// Number to ask for next.
    pub next: u64,
    /// The changes, by number.
    pub changes: Vec<CacheChange>,
}

/// Calls to backend servers.
pub trait BackendPort: Debug + Send + Sync {
    /// Starts an attempt and returns its frames.
    fn generate(
        &self,
        server: SocketAddr,
        call: GenerateCall,
    ) -> PortFuture<'_, Result<EngineStream, AttemptError>>;

    /// Cancels an attempt; unknown attempts are no error.
    fn cancel(&self, server: SocketAddr, attempt: AttemptId) -> PortFuture<'_, ()>;

    /// Moves an attempt's KV cache and returns the handle at the target.
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

    /// Reads a server's load report.
    fn report(&self, server: SocketAddr) -> PortFuture<'_, Result<ServerReport, AttemptError>>;

    /// Reads the changes of an engine's prefix cache from a number on.
    fn cache_changes(
        &self,
        server: SocketAddr,
        from: u64,
    ) -> PortFuture<'_, Result<CacheChanges, AttemptError>>;
}
