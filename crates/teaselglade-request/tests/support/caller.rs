//! Simulated caller that checks its response.

use teaselglade_core::verdict::{ExecutionVerdict, RefusalReason};

use super::engine::{EMPTY_HASH, extend_hash};

/// Final response of a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    Complete,
    Refused(RefusalReason, ExecutionVerdict),
}

/// Checks its response, and reconnects when its connection closes.
#[derive(Debug, Clone)]
pub struct Caller {
    /// Number of the current connection.
    pub connection: u32,
    /// Copy of the stream that sent the last token.
    pub copy_id: u16,
    pub tokens: Vec<String>,
    pub recomputed: u32,
    pub outcome: Option<Outcome>,
    /// Violations of the protocol that the caller detected.
    pub violations: Vec<String>,
    hash: u64,
}

impl Default for Caller {
    fn default() -> Self {
        Self {
            connection: 1,
            copy_id: 0,
            tokens: Vec::new(),
            recomputed: 0,
            outcome: None,
            violations: Vec::new(),
            hash: EMPTY_HASH,
        }
    }
}

impl Caller {
    pub fn receive_token(&mut self, index: u32, copy_id: u16, text: &str) {
        self.copy_id = copy_id;
        if index as usize != self.tokens.len() {
            let violation = format!("token {index} after {} tokens", self.tokens.len());
            self.violations.push(violation);
        }
        let prefix = text.split('.').next().unwrap_or_default();
        if prefix != format!("{:x}", self.hash) {
            self.violations
                .push(format!("token {index} continues another response"));
        }
        self.hash = extend_hash(self.hash, text);
        self.tokens.push(text.to_owned());
    }

    pub fn record_outcome(&mut self, outcome: Outcome) {
        if self.outcome.is_some() {
            self.violations.push("second final response".to_owned());
        }
        self.outcome = Some(outcome);
    }
}
