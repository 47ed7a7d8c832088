//! What one host has at one engine, as peers hear it.

use serde::{Deserialize, Serialize};

/// What one host has at one engine.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Hash of the server's name.
    pub server: u64,
    /// Prompt tokens that wait to be read.
    pub waiting_tokens: u32,
    /// Requests, running or waiting.
    pub requests: u16,
    /// Tokens that these requests hold in memory.
    pub memory_tokens: u32,
}

/// A part of a prompt that a host sent to an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CachedPart {
    /// Hash of the server's name.
    pub server: u64,
    /// Hash over the ids of the part and of all parts before it.
    #[serde(rename = "chain")]
    pub prefix_hash: u64,
}
