//! Simulated model engine.

use teaselglade_core::id::AttemptId;
use teaselglade_core::time::Timestamp;

/// Hash of a response without tokens.
pub const EMPTY_HASH: u64 = 0xcbf2_9ce4_8422_2325;
const HASH_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Returns the hash of a response after one more token.
pub fn extend_hash(prefix_hash: u64, text: &str) -> u64 {
    text.bytes().fold(prefix_hash, |prefix_hash, byte| {
        (prefix_hash ^ u64::from(byte)).wrapping_mul(HASH_PRIME)
    })
}

/// State of a simulated model engine.
#[derive(Debug, Clone, Default)]
pub struct Engine {
    pub is_dead: bool,
    pub is_frozen: bool,
    pub refuses_kv: bool,
    /// When the engine received its departure notice.
    pub leaving_since: Option<Timestamp>,
    /// Delays after the notice at which new work arrived.
    pub work_after_notice: Vec<std::time::Duration>,
    /// Faults to apply to the next frames, the last one first.
    pub frame_faults: Vec<super::Fault>,
}

/// One attempt at an engine.
#[derive(Debug, Clone)]
pub struct EngineRun {
    pub engine: usize,
    pub host: usize,
    pub caller: usize,
    pub attempt: AttemptId,
    pub next_index: u32,
    pub prefix_hash: u64,
    /// Whether the connection delivers no more frames.
    pub is_silent: bool,
    /// Whether the engine froze before the run's next step.
    pub is_stalled: bool,
    pub is_finished: bool,
}

impl EngineRun {
    /// Returns the next token, which contains the hash of the tokens before it.
    pub fn sample(&mut self) -> String {
        let text = format!("{:x}.{}", self.prefix_hash, self.attempt.number);
        self.prefix_hash = extend_hash(self.prefix_hash, &text);
        self.next_index += 1;
        text
    }
}
