//! Fake model engine.

use teaselglade_core::id::AttemptId;
use teaselglade_core::time::Timestamp;

pub const ROOT_HASH: u64 = 0xcbf2_9ce4_8422_2325;
const HASH_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Returns the hash of an answer that got one more token.
pub fn extend_hash(hash: u64, text: &str) -> u64 {
    text.bytes().fold(hash, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(HASH_PRIME)
    })
}

/// Fake model engine.
#[derive(Debug, Clone, Default)]
pub struct Engine {
    pub is_dead: bool,
    pub is_frozen: bool,
    pub refuses_kv: bool,
    /// When the engine was told to leave.
    pub leaving_since: Option<Timestamp>,
    /// Work that arrived after the engine was told to leave, with the delay.
    pub late_work: Vec<std::time::Duration>,
    /// What happens to the next frames.
    pub mangle: Vec<super::Fault>,
}

/// One attempt at an engine; its connection may be silent for good.
#[derive(Debug, Clone)]
pub struct EngineRun {
    pub engine: usize,
    pub host: usize,
    pub caller: usize,
    pub attempt: AttemptId,
    pub next: u32,
    pub hash: u64,
    pub is_silent: bool,
    /// Whether the engine froze before the run's next step.
    pub is_stalled: bool,
    pub is_over: bool,
}

impl EngineRun {
    /// Samples the next token; it names the hash of the tokens before it.
    pub fn sample(&mut self) -> String {
        let text = format!("{:x}.{}", self.hash, self.attempt.number);
        self.hash = extend_hash(self.hash, &text);
        self.next += 1;
        text
    }
}
