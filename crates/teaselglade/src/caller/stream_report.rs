//! Result of one model request, as its caller saw it.

use std::time::Duration;

use teaselglade_wire::{EndEvent, ErrorBody};

/// How a model request ended for its caller.
#[derive(Debug, Clone, PartialEq)]
pub enum StreamOutcome {
    /// The stream arrived up to its end event.
    Complete(EndEvent),
    /// An entry host refused the request or ended its stream with an error event.
    Refused(ErrorBody),
    /// The request could not be started, or its stream could not be resumed.
    Lost {
        /// Description of the last failure.
        detail: String,
    },
}

/// Result of one model request, as its caller saw it.
#[derive(Debug, Clone, PartialEq)]
pub struct StreamReport {
    /// Id of the request, if a response named one.
    pub request_id: Option<String>,
    /// Tokens in order of arrival.
    pub tokens: Vec<String>,
    /// Time to the first token.
    pub time_to_first_token: Option<Duration>,
    /// Time from the first token to the last.
    pub streaming_time: Duration,
    /// Longest time between two tokens.
    pub longest_gap: Duration,
    /// Number of times the caller reconnected to resume the stream.
    pub resumes: u32,
    /// How the request ended.
    pub outcome: StreamOutcome,
}

impl StreamReport {
    /// Returns the generated text.
    #[must_use]
    pub fn text(&self) -> String {
        self.tokens.concat()
    }

    /// Returns whether the stream arrived up to its end event.
    #[must_use]
    pub const fn is_complete(&self) -> bool {
        matches!(self.outcome, StreamOutcome::Complete(_))
    }
}
