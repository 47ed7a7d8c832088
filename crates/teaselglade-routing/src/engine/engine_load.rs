//! Engine loads and cached prompt parts that hosts gossip.

use serde::{Deserialize, Serialize};

/// Load that one host has placed on one engine.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Hash of the server's name.
    pub server: u64,
    /// Prompt tokens that wait for prefill.
    pub waiting_tokens: u32,
    /// Running and waiting requests.
    pub requests: u16,
    /// Tokens that these requests hold in the engine's cache memory.
    pub memory_tokens: u32,
}

/// Prompt part in an engine's prefix cache, after a host sent it there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CachedPart {
    /// Hash of the server's name.
    pub server: u64,
    /// Hash over the ids of the part and of all parts before it.
    #[serde(rename = "chain")]
    pub prefix_hash: u64,
}
