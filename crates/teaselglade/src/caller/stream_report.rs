//! What a caller saw of one model request.

use std::time::Duration;

use teaselglade_wire::{EndEvent, ErrorBody};

/// How a model request ended at its caller.
#[derive(Debug, Clone, PartialEq)]
pub enum StreamOutcome {
    /// The answer came with its end.
    Whole(EndEvent),
    /// The system gave a final answer without a result.
    Refused(ErrorBody),
    /// No entry host gave an answer.
    Lost {
        /// What went wrong last.
        detail: String,
    },
}

/// What a caller saw of one model request.
#[derive(Debug, Clone, PartialEq)]
pub struct StreamReport {
    /// Id of the request, where an answer named one.
    pub request: Option<String>,
    /// Tokens in the order of their arrival.
    pub tokens: Vec<String>,
    /// Time to the first token.
    pub first_token: Option<Duration>,
    /// Time from the first token to the last.
    pub streaming: Duration,
    /// Longest time between two tokens.
    pub longest_gap: Duration,
    /// How often the caller came back.
    pub resumes: u32,
    /// How the request ended.
    pub outcome: StreamOutcome,
}

impl StreamReport {
    /// Returns the text of the answer.
    #[must_use]
    pub fn text(&self) -> String {
        self.tokens.concat()
    }

    /// Returns whether the whole answer came.
    #[must_use]
    pub const fn is_whole(&self) -> bool {
        matches!(self.outcome, StreamOutcome::Whole(_))
    }
}
