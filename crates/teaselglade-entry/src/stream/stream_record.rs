//! Tokens of one request, from which callers read at their own pace.

use std::sync::{Mutex, MutexGuard, PoisonError};

use teaselglade_core::id::RequestId;
use teaselglade_core::table::ServiceRow;
use teaselglade_core::time::Timestamp;
use teaselglade_core::verdict::RequestRefusal;
use tokio::sync::Notify;

/// What a caller asked for.
#[derive(Debug, Clone)]
pub(crate) struct StreamOrder {
    /// Organisation of the caller.
    pub(crate) organisation: String,
    /// Row of the service.
    pub(crate) row: ServiceRow,
    /// When the whole answer must be there.
    pub(crate) deadline: Timestamp,
    /// Prompt.
    pub(crate) prompt: String,
    /// Most tokens of the answer.
    pub(crate) max_tokens: u32,
    /// Adapter to apply.
    pub(crate) adapter: Option<String>,
}

/// End of a stream that got its whole answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct StreamEnd {
    /// Tokens of the answer.
    pub(crate) tokens: u32,
    /// Tokens computed again after a loss.
    pub(crate) recomputed_tokens: u32,
}

/// What comes next for a reader.
#[derive(Debug, Clone)]
pub(crate) enum StreamStep {
    /// The token at the reader's place.
    Token(String),
    /// The answer is whole.
    End(StreamEnd),
    /// The request is given up.
    Refused(RequestRefusal),
}

#[derive(Debug, Default)]
struct RecordState {
    tokens: Vec<String>,
    outcome: Option<std::result::Result<StreamEnd, RequestRefusal>>,
}

/// Tokens and outcome of one request.
#[derive(Debug)]
pub(crate) struct StreamRecord {
    /// Id of the request.
    pub(crate) request: RequestId,
    state: Mutex<RecordState>,
    changed: Notify,
}

impl StreamRecord {
    /// Makes the record of a request without tokens.
    pub(crate) fn new(request: RequestId) -> Self {
        Self {
            request,
            state: Mutex::default(),
            changed: Notify::new(),
        }
    }

    /// Returns the tokens so far.
    pub(crate) fn tokens(&self) -> Vec<String> {
        self.lock().tokens.clone()
    }

    /// Adds the next token.
    pub(crate) fn push(&self, token: String) {
        self.lock().tokens.push(token);
        self.changed.notify_waiters();
    }

    /// Sets the outcome, unless there is one.
    pub(crate) fn finish(&self, outcome: std::result::Result<StreamEnd, RequestRefusal>) {
        self.lock().outcome.get_or_insert(outcome);
        self.changed.notify_waiters();
    }

    /// Waits for what comes at `index`.
    pub(crate) async fn step(&self, index: usize) -> StreamStep {
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if let Some(step) = self.present_step(index) {
                return step;
            }
            changed.await;
        }
    }

    fn present_step(&self, index: usize) -> Option<StreamStep> {
        let state = self.lock();
        if let Some(token) = state.tokens.get(index) {
            return Some(StreamStep::Token(token.clone()));
        }
        match state.outcome.clone()? {
            Ok(end) => Some(StreamStep::End(end)),
            Err(refusal) => Some(StreamStep::Refused(refusal)),
        }
    }

    fn lock(&self) -> MutexGuard<'_, RecordState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
