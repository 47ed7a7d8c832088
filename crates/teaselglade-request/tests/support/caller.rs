//! Caller that checks what it gets.

use teaselglade_core::verdict::{ExecutionVerdict, RefusalReason};

use super::engine::{ROOT_HASH, extend_hash};

/// What a caller got at last.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    Whole,
    Refused(RefusalReason, ExecutionVerdict),
}

/// Caller that checks what it gets and comes back when its connection is cut.
#[derive(Debug, Clone)]
pub struct Caller {
    /// Number of the present connection.
    pub connection: u32,
    /// Line of the last token.
    pub copy_id: u16,
    pub tokens: Vec<String>,
    pub recomputed: u32,
    pub outcome: Option<Outcome>,
    /// Broken rules.
    pub complaints: Vec<String>,
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
            complaints: Vec::new(),
            hash: ROOT_HASH,
        }
    }
}

impl Caller {
    pub fn take_token(&mut self, index: u32, copy_id: u16, text: &str) {
        self.copy_id = copy_id;
        if index as usize != self.tokens.len() {
            let complaint = format!("token {index} after {} tokens", self.tokens.len());
            self.complaints.push(complaint);
        }
        let prefix = text.split('.').next().unwrap_or_default();
        if prefix != format!("{:x}", self.hash) {
            self.complaints
                .push(format!("token {index} continues another answer"));
        }
        self.hash = extend_hash(self.hash, text);
        self.tokens.push(text.to_owned());
    }

    pub fn take_outcome(&mut self, outcome: Outcome) {
        if self.outcome.is_some() {
            self.complaints.push("second final answer".to_owned());
        }
        self.outcome = Some(outcome);
    }
}
